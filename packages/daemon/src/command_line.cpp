#include <agatebank/daemon/command_line.hpp>

#include <boost/program_options.hpp>

#include <sstream>

namespace agatebank
{

namespace
{

namespace po = boost::program_options;

constexpr const char* step_command = "command line";

po::options_description make_options()
{
    po::options_description options("Options");
    options.add_options()("config", po::value<std::string>(), "settings file")(
        "check", "validate the settings and exit")(
        "help", "print this text and exit")("version",
                                            "print the version and exit");
    return options;
}

result<daemon_role> parse_role(const std::string& word)
{
    if (word == "entry")
    {
        return daemon_role::entry;
    }
    if (word == "agent")
    {
        return daemon_role::agent;
    }
    return fail(errc::settings_invalid, step_command, {},
                "role: found \"" + word + "\", expected entry or agent");
}

} // namespace

result<daemon_command> parse_command(int argc, const char* const* argv)
{
    auto options = make_options();
    po::options_description all_options;
    all_options.add(options).add_options()("role", po::value<std::string>());
    po::positional_options_description positional;
    positional.add("role", 1);
    po::variables_map values;
    try
    {
        po::store(po::command_line_parser(argc, argv)
                      .options(all_options)
                      .positional(positional)
                      .run(),
                  values);
    }
    catch (const po::error& e)
    {
        return fail(errc::settings_invalid, step_command, {}, e.what());
    }
    daemon_command out;
    out.print_help = values.count("help") != 0;
    out.print_version = values.count("version") != 0;
    out.check_only = values.count("check") != 0;
    if (out.print_help || out.print_version)
    {
        return out;
    }
    if (values.count("role") == 0 || values.count("config") == 0)
    {
        return fail(errc::settings_invalid, step_command, {},
                    "expected a role, entry or agent, and --config FILE");
    }
    const auto role = parse_role(values["role"].as<std::string>());
    if (!role)
    {
        return tl::unexpected(role.error());
    }
    out.role = *role;
    out.config_file = values["config"].as<std::string>();
    return out;
}

std::string usage_text()
{
    std::ostringstream os;
    os << "Usage: agatebankd entry --config FILE [--check]\n"
          "       agatebankd agent --config FILE [--check]\n\n"
       << make_options();
    return os.str();
}

} // namespace agatebank
