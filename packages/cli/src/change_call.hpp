#pragma once

#include <agatebank/cli/cli_command.hpp>

#include <string>

namespace agatebank::detail
{

/// @brief Adds the options shared by all commands that change the
/// configuration.
void add_change_options(boost::program_options::options_description& options);

/// @brief Options of a change of the configuration.
struct change_arguments
{
    bool dry_run = false;
    std::string required_version; ///< of the latest configuration; empty: any
    uint64_t in_force_wait_ms = 0;
};

/// @brief Reads the options that @ref add_change_options adds.
change_arguments read_change_arguments(const cli_context& context);

/// @brief Sends a change of the configuration, waits until it is in force, at
/// most for the given time, and prints the outcome. A dry run only prints the
/// difference.
/// @param call method, path, body and content type
cli_exit_code send_change(const cli_context& context,
                          const change_arguments& arguments, http_call call);

} // namespace agatebank::detail
