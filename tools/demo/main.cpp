// Runs the demo on one machine: starts a stand-in platform and the entries,
// agents and targets of an example, imports its configuration with the command
// line program, and submits a load of jobs, some of them a second time through
// another entry.
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

// Runs a command of the command line program and reports that it is done.
void run_command(event_loop& loop, const cluster& nodes,
                 std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), program_path("agatebank"));
    arguments.insert(arguments.end(),
                     {"--entry", nodes.entry_url(0), "--token-file",
                      nodes.bootstrap_token_file()});
    child_process p(loop, arguments, nodes.directory() + "/command.out");
    const auto code = p.wait(command_timeout);
    if (!code || *code != 0)
    {
        throw std::runtime_error(arguments[1] + " failed: " + p.output());
    }
    std::cout << "agatebank " << arguments[1] << ' ' << arguments[2] << ": done"
              << std::endl;
}

void import_configuration(event_loop& loop, cluster& nodes,
                          const demo_plan& plan)
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
    import_configuration(loop, nodes, plan);
    demo_run demo(loop, nodes, plan);
    demo.run(std::cout);
    const auto starts = nodes.read_ledger();
    const auto breaches = demo.reply_judge().breaches(starts);
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
