// Runs the main job on one machine: stand-in platform, entries, agents and
// targets of an example, its configuration imported by the command line, and
// a load of jobs, some of them submitted twice through another entry.
#include "demo_plan.hpp"
#include "demo_report.hpp"
#include "demo_run.hpp"
#include <agatebank/harness/cluster.hpp>

#include <boost/program_options.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <stdexcept>

namespace po = boost::program_options;

namespace
{

using namespace agatebank;

constexpr auto command_timeout = std::chrono::seconds(30);
constexpr auto ready_timeout = std::chrono::seconds(30);

struct options
{
    std::string example;
    uint64_t seed = 1;
    bool help = false;
};

options parse(int argc, char** argv)
{
    options o;
    po::options_description d("demo-load options");
    auto add = d.add_options();
    add("help", po::bool_switch(&o.help), "print this help");
    add("example", po::value(&o.example), "directory of the example");
    add("seed", po::value(&o.seed), "seed of the load");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, d), values);
    po::notify(values);
    if (o.help)
    {
        std::cout << d;
    }
    else if (o.example.empty())
    {
        throw std::runtime_error("--example is required");
    }
    return o;
}

// Runs the command line and shows what it prints.
void run_command(event_loop& loop, const cluster& nodes,
                 std::vector<std::string> words)
{
    words.insert(words.begin(), program_path("agatebank"));
    words.insert(words.end(), {"--entry", nodes.entry_url(0), "--token-file",
                               nodes.bootstrap_token_file()});
    child_process p(loop, words, nodes.directory() + "/command.out");
    const auto code = p.wait(command_timeout);
    if (!code || *code != 0)
    {
        throw std::runtime_error(words[1] + " failed: " + p.output());
    }
    std::cout << "agatebank " << words[1] << ' ' << words[2] << ": done"
              << std::endl;
}

void prepare(event_loop& loop, cluster& nodes, const demo_plan& plan)
{
    if (!nodes.wait_ready(0, ready_timeout))
    {
        throw std::runtime_error("the entry did not become ready");
    }
    run_command(loop, nodes, {"inventory", "import", plan.inventory_file});
    run_command(loop, nodes, {"rules", "apply", plan.rules_file});
    for (std::size_t i = 0; i < plan.cluster.entry_domains.size(); ++i)
    {
        if (!nodes.wait_targets(i, plan.cluster.targets.size(), ready_timeout))
        {
            throw std::runtime_error("targets did not become ready");
        }
    }
}

int run(const options& o)
{
    const auto plan = read_plan(o.example, o.seed);
    event_loop loop;
    cluster nodes(loop, plan.cluster);
    std::cout << "started the stand-in platform, "
              << plan.cluster.entry_domains.size() << " entries and "
              << plan.cluster.targets.size() << " agents with targets"
              << std::endl;
    prepare(loop, nodes, plan);
    demo_run demo(loop, nodes, plan);
    demo.run(std::cout);
    const auto starts = nodes.read_ledger();
    const auto breaches = demo.verdict().breaches(starts);
    print_table(std::cout, plan, demo.outcomes());
    std::cout << to_lines(breaches);
    print_summary(std::cout, demo.outcomes(), starts);
    return breaches.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const auto o = parse(argc, argv);
        return o.help ? EXIT_SUCCESS : run(o);
    }
    catch (const std::exception& e)
    {
        std::cerr << "demo-load: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}
