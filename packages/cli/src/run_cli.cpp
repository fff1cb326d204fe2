#include <agatebank/cli/cli_command.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <utility>

namespace agatebank
{

namespace
{

namespace po = boost::program_options;
using string_list = std::vector<std::string>;

// Abbreviated long options are rejected.
constexpr int parser_style = po::command_line_style::unix_style &
                             ~po::command_line_style::allow_guessing;

std::vector<cli_command> all_commands()
{
    std::vector<cli_command> out;
    for (auto* list :
         {inventory_commands, rules_commands, target_commands, job_commands,
          explain_commands, status_commands, offline_commands})
    {
        auto commands = list();
        std::move(commands.begin(), commands.end(), std::back_inserter(out));
    }
    return out;
}

po::options_description global_options()
{
    po::options_description out("Global options");
    auto add = out.add_options();
    add("entry", po::value<string_list>()->composing(),
        "URL or host:port of an entry; may be repeated, the next is tried when "
        "one fails "
        "(AGATEBANK_ENTRY, separated by spaces)");
    add("token-file", po::value<std::string>(),
        "file with the bearer token (AGATEBANK_TOKEN)");
    add("ca-file", po::value<std::string>(),
        "PEM file of trusted certificates (AGATEBANK_CA_FILE)");
    add("json", po::bool_switch(), "print JSON");
    add("help,h", po::bool_switch(), "print this help");
    add("version", po::bool_switch(), "print the version");
    return out;
}

void print_usage(std::ostream& out, const std::vector<cli_command>& commands)
{
    out << "Usage: agatebank COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n";
    constexpr std::size_t width = 18;
    for (const auto& c : commands)
    {
        out << "  " << c.name << std::string(width - c.name.size(), ' ')
            << c.summary << "\n";
    }
    out << "\n"
        << global_options()
        << "\nExit codes: 0 done, 1 usage, 2 refused or not valid, 3 "
           "unreachable,\n4 job failed, 5 outcome unknown, 6 not finished in "
           "time\n";
}

void print_usage(std::ostream& out, const cli_command& command)
{
    out << "Usage: agatebank " << command.name;
    for (const auto& name : command.positionals)
    {
        out << " " << name;
    }
    out << " [OPTIONS]\n\n" << command.summary << "\n\n";
    if (!command.options.options().empty())
    {
        out << "Options:\n" << command.options << "\n";
    }
    out << global_options();
}

bool begins_with_words(const string_list& arguments, const std::string& name)
{
    std::istringstream words(name);
    std::string word;
    for (std::size_t i = 0; words >> word; ++i)
    {
        if (i >= arguments.size() || arguments[i] != word)
        {
            return false;
        }
    }
    return true;
}

const cli_command* find_command(const std::vector<cli_command>& commands,
                                const string_list& arguments)
{
    const auto it = std::find_if(
        commands.begin(), commands.end(),
        [&](const auto& c) { return begins_with_words(arguments, c.name); });
    return it == commands.end() ? nullptr : &*it;
}

// The global options, and the remaining arguments in their order.
struct split_arguments
{
    po::variables_map globals;
    string_list rest;
};

split_arguments split(const string_list& arguments)
{
    split_arguments out;
    const auto options = global_options();
    const auto parsed = po::command_line_parser(arguments)
                            .options(options)
                            .style(parser_style)
                            .allow_unregistered()
                            .run();
    po::store(parsed, out.globals);
    out.rest = po::collect_unrecognized(parsed.options, po::include_positional);
    return out;
}

// Parses the arguments of a command, which begin with its name. Throws
// po::error when an argument is unknown, invalid or missing.
po::variables_map parse_arguments(const cli_command& command,
                                  string_list arguments)
{
    const auto words =
        1 + std::count(command.name.begin(), command.name.end(), ' ');
    arguments.erase(arguments.begin(), arguments.begin() + words);
    po::options_description options;
    options.add(command.options);
    po::positional_options_description positions;
    for (const auto& name : command.positionals)
    {
        options.add_options()(name.c_str(),
                              po::value<std::string>()->required());
        positions.add(name.c_str(), 1);
    }
    po::variables_map out;
    po::store(po::command_line_parser(arguments)
                  .options(options)
                  .positional(positions)
                  .style(parser_style)
                  .run(),
              out);
    po::notify(out);
    return out;
}

// Returns the value of a global option or, when it is absent, of an environment
// variable.
std::string find_text(const po::variables_map& globals, const char* name,
                      const cli_environment& environment, const char* variable)
{
    return globals.count(name) != 0 ? globals[name].as<std::string>()
                                    : environment.variable(variable);
}

string_list find_entries(const po::variables_map& globals,
                         const cli_environment& environment)
{
    string_list out;
    if (globals.count("entry") != 0)
    {
        out = globals["entry"].as<string_list>();
    }
    else
    {
        std::istringstream words(environment.variable("AGATEBANK_ENTRY"));
        out.assign(std::istream_iterator<std::string>(words), {});
    }
    for (auto& url : out)
    {
        url.erase(url.find_last_not_of('/') + 1);
        if (!url.empty() && url.find("://") == std::string::npos)
        {
            url.insert(0, "http://");
        }
    }
    return out;
}

struct usage_error : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

std::string find_token(const po::variables_map& globals,
                       const cli_environment& environment)
{
    if (globals.count("token-file") == 0)
    {
        return environment.variable("AGATEBANK_TOKEN");
    }
    const auto name = globals["token-file"].as<std::string>();
    std::ifstream file(name);
    std::string token;
    if (!std::getline(file, token))
    {
        throw usage_error(name + ": cannot read a token from the first line");
    }
    return token;
}

cli_exit_code run_command(const cli_command& command,
                          const split_arguments& arguments,
                          cli_environment& environment)
{
    const auto values = parse_arguments(command, arguments.rest);
    const auto& globals = arguments.globals;
    const auto entries = find_entries(globals, environment);
    if (command.needs_entry && entries.empty())
    {
        throw usage_error("no entry given; use --entry or AGATEBANK_ENTRY");
    }
    event_loop loop;
    http_client http(
        loop, find_text(globals, "ca-file", environment, "AGATEBANK_CA_FILE"));
    entry_client client(loop, http, entries, find_token(globals, environment));
    return command.run(
        {environment, values, client, globals["json"].as<bool>()});
}

cli_exit_code dispatch(const string_list& arguments,
                       cli_environment& environment)
{
    const auto commands = all_commands();
    const auto given = split(arguments);
    const auto* command = find_command(commands, given.rest);
    if (given.globals["version"].as<bool>())
    {
        environment.out << "agatebank " << AGATEBANK_VERSION << "\n";
        return cli_exit_code::success;
    }
    if (given.globals["help"].as<bool>())
    {
        command == nullptr ? print_usage(environment.out, commands)
                           : print_usage(environment.out, *command);
        return cli_exit_code::success;
    }
    if (command == nullptr)
    {
        throw usage_error(given.rest.empty()
                              ? "no command given; see agatebank --help"
                              : "unknown command \"" + given.rest.front() +
                                    "\"; see agatebank --help");
    }
    return run_command(*command, given, environment);
}

} // namespace

cli_exit_code run_cli(const std::vector<std::string>& arguments,
                      cli_environment& environment)
{
    try
    {
        return dispatch(arguments, environment);
    }
    catch (const po::error& e)
    {
        environment.err << "agatebank: " << e.what() << "\n";
    }
    catch (const usage_error& e)
    {
        environment.err << "agatebank: " << e.what() << "\n";
    }
    return cli_exit_code::usage;
}

} // namespace agatebank
