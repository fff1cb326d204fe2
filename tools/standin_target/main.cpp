// Stand-in for a target, for the demo and the tests. Prints "listening PORT"
// when it is ready. On SIGTERM it withdraws from its agent, finishes the
// running tasks and exits with 0.
#include "target_server.hpp"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace po = boost::program_options;

namespace
{

struct command_line
{
    agatebank::target_options target;
    bool help = false;
};

command_line parse(int argc, char** argv)
{
    command_line c;
    auto& t = c.target;
    po::options_description d("standin-target options");
    auto add = d.add_options();
    add("help", po::bool_switch(&c.help), "print this help");
    add("name", po::value(&t.name), "name written into the ledger");
    add("address", po::value(&t.address), "IP address to listen on");
    add("port", po::value(&t.port), "port to listen on, 0 for any free port");
    add("agent-url", po::value(&t.agent_url),
        "base URL of the agent to announce to");
    add("service", po::value(&t.services), "service offered, repeatable");
    add("slots", po::value(&t.slots),
        "number of tasks that run at the same time");
    add("speed", po::value(&t.speed), "divisor of every run time");
    add("ledger", po::value(&t.ledger), "file to which starts are appended");
    add("mode", po::value(&t.mode), "failure mode");
    add("seed", po::value(&t.seed), "seed for the choice of stragglers");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, d), values);
    po::notify(values);
    if (c.help)
    {
        std::cout << d;
    }
    return c;
}

int run(const agatebank::target_options& options)
{
    agatebank::event_loop loop;
    agatebank::http_client client(loop);
    agatebank::target_server server(loop, client, options);
    const auto port = server.listen();
    if (!port)
    {
        std::cerr << port.error().to_string() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "listening " << *port << std::endl;
    const auto stop = loop.on_signal(
        SIGTERM, [&] { server.shut_down([&] { loop.quit(); }); });
    const auto interrupt = loop.on_signal(SIGINT, [&loop] { loop.quit(); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const auto c = parse(argc, argv);
        return c.help ? EXIT_SUCCESS : run(c.target);
    }
    catch (const std::exception& e)
    {
        std::cerr << "standin-target: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}
