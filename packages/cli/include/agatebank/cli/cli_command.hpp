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

/// @brief Streams, environment variables and id generator that the commands
/// use; tests replace them.
struct cli_environment
{
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    /// Returns the value of an environment variable, empty when unset.
    std::function<std::string(const char* name)> variable;
    /// Returns a new id for a change of the configuration.
    std::function<std::string()> random_id;
};

/// @brief Arguments and services that are passed to a command.
struct cli_context
{
    cli_environment& environment;
    const boost::program_options::variables_map& values;
    entry_client& entries;
    bool json = false; ///< print JSON instead of text

    /// @brief Returns a text argument, empty when absent.
    std::string text(const char* name) const;
    bool flag(const char* name) const;
    /// @brief Returns a numeric argument, whose option must have a default.
    uint64_t number(const char* name) const;
};

/// @brief One command, such as "inventory import".
struct cli_command
{
    std::string name;                     ///< one or two words
    std::string summary;                  ///< one line
    std::vector<std::string> positionals; ///< required, in order
    boost::program_options::options_description options;
    bool needs_entry = true; ///< sends requests to an entry
    std::function<cli_exit_code(const cli_context&)> run;
};

// The commands, grouped by subject.
std::vector<cli_command> inventory_commands();
std::vector<cli_command> rules_commands();
std::vector<cli_command> target_commands();
std::vector<cli_command> job_commands();
std::vector<cli_command> explain_commands();
std::vector<cli_command> status_commands();
std::vector<cli_command> offline_commands();

/// @brief Parses the arguments and runs the command that they name.
/// @param arguments without the program's name
cli_exit_code run_cli(const std::vector<std::string>& arguments,
                      cli_environment& environment);

} // namespace agatebank
