#pragma once

namespace agatebank
{

/// @brief Exit codes of `agatebank`; see docs/CLI.md.
enum class cli_exit_code
{
    success = 0,
    usage = 1,       ///< wrong arguments, or a file cannot be read or written
    refused = 2,     ///< refused, invalid, or in conflict with another change
    unreachable = 3, ///< no entry answered, or all are unavailable
    job_failed = 4,  ///< the job is marked failed
    outcome_unknown = 5, ///< the change may have taken effect
    unfinished = 6 ///< job still running, or change not in force everywhere
};

} // namespace agatebank
