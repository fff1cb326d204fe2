#pragma once

namespace agatebank
{

/// @brief What is known of a task's or job's execution.
enum class run_fate
{
    not_run,      ///< no task was started, and none will be
    may_have_run, ///< a start may have taken effect
    ran           ///< every task was started and answered
};

/// @brief The word used in problem documents: "not-run", "may-have-run" or
/// "ran".
constexpr const char* to_word(run_fate f) noexcept
{
    switch (f)
    {
    case run_fate::not_run:
        return "not-run";
    case run_fate::may_have_run:
        return "may-have-run";
    case run_fate::ran:
        return "ran";
    }
    return "may-have-run";
}

} // namespace agatebank
