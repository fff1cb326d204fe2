#include <agatebank/daemon/command_line.hpp>
#include <agatebank/daemon/node_roles.hpp>
#include <agatebank/daemon/process_runtime.hpp>
#include <agatebank/daemon/roles.hpp>
#include <agatebank/node/node_settings.hpp>

#include <iostream>

namespace
{

using namespace agatebank;

constexpr const char* step_settings = "settings.read";

// A settings file that is not valid JSON fails with request_malformed, the
// error of the JSON parser.
exit_code to_exit_code(const failure& f)
{
    const bool is_settings_error = f.code == errc::settings_invalid ||
                                   f.code == errc::settings_unreadable ||
                                   f.code == errc::request_malformed;
    return is_settings_error ? exit_code::settings_invalid
                             : exit_code::start_failed;
}

result<exit_code> run(const daemon_command& command)
{
    const auto document = read_settings(command.config_file, step_settings);
    if (!document)
    {
        return tl::unexpected(document.error());
    }
    const bool is_entry = command.role == daemon_role::entry;
    if (has_node_settings(*document))
    {
        const auto run_node = is_entry ? run_entry_node : run_agent_node;
        return run_node(*document, command.config_file, command.check_only);
    }
    const auto run_role = is_entry ? run_entry : run_agent;
    return run_role(*document, command.config_file, command.check_only);
}

int report(const failure& f, exit_code code)
{
    std::cerr << "agatebankd: " << f.to_string() << "\n";
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char** argv)
{
    const auto command = parse_command(argc, argv);
    if (!command)
    {
        return report(command.error(), exit_code::usage);
    }
    if (command->print_help)
    {
        std::cout << usage_text();
        return 0;
    }
    if (command->print_version)
    {
        std::cout << "agatebankd " AGATEBANK_VERSION "\n";
        return 0;
    }
    const auto code = run(*command);
    if (!code)
    {
        return report(code.error(), to_exit_code(code.error()));
    }
    return static_cast<int>(*code);
}
