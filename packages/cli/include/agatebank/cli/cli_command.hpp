#pragma once

#include <agatebank/cli/cli_exit_code.hpp>
#include <agatebank/cli/entry_client.hpp>

#include <boost/program_options.hpp>

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief What the command line takes from its surroundings.
struct cli_environment
{
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    /// an environment variable, empty when unset
    std::function<std::string(const char* name)> variable;
    std::function<std::string()> random_id;
};

/// @brief What one command runs with.
struct cli_context
{
    cli_environment& environment;
    const boost::program_options::variables_map& values;
    entry_client& entries;
    bool json = false; ///< output for programs

    /// @brief A text argument, empty when absent.
    std::string text(const char* name) const;
    bool flag(const char* name) const;
    /// @brief A number argument with a default value.
    uint64_t number(const char* name) const;
};

/// @brief One command, such as "inventory import".
struct cli_command
{
    std::string name;                     ///< one or two words
    std::string summary;                  ///< one line
    std::vector<std::string> positionals; ///< required, in order
    boost::program_options::options_description options;
    bool needs_entry = true;
    std::function<cli_exit_code(const cli_context&)> run;
};

// the commands, by what they are about
std::vector<cli_command> inventory_commands();
std::vector<cli_command> rules_commands();
std::vector<cli_command> target_commands();
std::vector<cli_command> job_commands();
std::vector<cli_command> status_commands();
std::vector<cli_command> offline_commands();

/// @brief Runs the command that the arguments name.
/// @param arguments without the program's name
cli_exit_code run_cli(const std::vector<std::string>& arguments,
                      cli_environment& environment);

} // namespace agatebank
