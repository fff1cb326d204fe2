#pragma once

namespace agatebank
{

/// @brief Whether a task or a job has been executed, as far as can be told.
enum class execution_status
{
    not_run,      ///< no task was started and none will be
    may_have_run, ///< at least one task may have been started
    ran           ///< every task was started and answered
};

/// @brief Returns the word used in problem documents: "not-run",
/// "may-have-run" or "ran".
constexpr const char* to_word(execution_status f) noexcept
{
    switch (f)
    {
    case execution_status::not_run:
        return "not-run";
    case execution_status::may_have_run:
        return "may-have-run";
    case execution_status::ran:
        return "ran";
    }
    return "may-have-run";
}

} // namespace agatebank
