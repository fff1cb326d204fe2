#pragma once

#include <agatebank/core/result.hpp>

#include <string>

namespace agatebank
{

/// @brief Exit codes of the daemon, listed in docs/OPERATING.md.
enum class exit_code : int
{
    success = 0,
    usage = 1,            ///< invalid command line
    settings_invalid = 2, ///< settings unreadable or invalid
    start_failed = 3,     ///< such as address in use or log unwritable
    forced_stop = 4       ///< a second signal aborted the graceful stop
};

/// @brief The role that a process runs in.
enum class daemon_role
{
    entry,
    agent
};

/// @brief A parsed command line.
struct daemon_command
{
    daemon_role role = daemon_role::entry;
    std::string config_file;
    bool check_only = false;
    bool print_help = false;
    bool print_version = false;
};

/// @brief Parses the command line of agatebankd.
/// @return the command, or errc::settings_invalid with the reason
result<daemon_command> parse_command(int argc, const char* const* argv);

/// @brief The text for --help.
std::string usage_text();

} // namespace agatebank
