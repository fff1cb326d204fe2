#pragma once

namespace agatebank
{

/// @brief Exit codes of `agatebank`; see docs/CLI.md.
enum class cli_exit_code
{
    success = 0,
    usage = 1,           ///< wrong arguments, or a file cannot be used
    refused = 2,         ///< refused, not valid, or in conflict
    unreachable = 3,     ///< no entry answered, or none can serve now
    job_failed = 4,      ///< the job is marked failed
    outcome_unknown = 5, ///< the change may have taken effect
    unfinished = 6       ///< still running, or not in force everywhere
};

} // namespace agatebank
