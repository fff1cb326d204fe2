// Stand-in for the platform's table service, for the demo and the tests. Prints
// "listening PORT" when it is ready.
#include "table_server.hpp"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace po = boost::program_options;

namespace
{

struct options
{
    std::string address = "127.0.0.1";
    uint16_t port = 0;
    bool help = false;
};

options parse(int argc, char** argv)
{
    options o;
    po::options_description d("standin-platform options");
    d.add_options()("help", po::bool_switch(&o.help), "print this help")(
        "address", po::value(&o.address)->default_value(o.address),
        "IP address to listen on")("port", po::value(&o.port)->default_value(0),
                                   "port to listen on, 0 for any free port");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, d), values);
    po::notify(values);
    if (o.help)
    {
        std::cout << d;
    }
    return o;
}

int run(const options& o)
{
    agatebank::event_loop loop;
    agatebank::table_server server(loop);
    const auto port = server.listen(o.address, o.port);
    if (!port)
    {
        std::cerr << port.error().to_string() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "listening " << *port << std::endl;
    const auto stop = loop.on_signal(SIGTERM, [&loop] { loop.quit(); });
    const auto interrupt = loop.on_signal(SIGINT, [&loop] { loop.quit(); });
    loop.run();
    return EXIT_SUCCESS;
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
        std::cerr << "standin-platform: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}
