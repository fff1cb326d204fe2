#pragma once

#include <agatebank/core/result.hpp>

#include <string>

namespace agatebank
{

/// @brief Exit codes of the daemon, listed in docs/OPERATING.md.
enum class exit_code : int
{
    success = 0,
    usage = 1,            ///< wrong command line
    settings_invalid = 2, ///< settings unreadable or not valid
    start_failed = 3,     ///< address in use, log unwritable and the like
    stopped_at_once = 4   ///< second SIGTERM cut the graceful stop short
};

/// @brief The role a process plays.
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
/// @return errc::settings_invalid with what is wrong
result<daemon_command> parse_command(int argc, const char* const* argv);

/// @brief The text for --help.
std::string usage_text();

} // namespace agatebank
