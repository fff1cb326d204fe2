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

int run(const options& o)
{
    const auto plan = read_plan(o.example, o.seed);
    event_loop loop;
    cluster nodes(loop, plan.cluster);
    std::cout << "started the stand-in platform, "
              << plan.cluster.entry_domains.size() << " entries and "
              << plan.cluster.targets.size() << " agents with targets"
              << std::endl;
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
