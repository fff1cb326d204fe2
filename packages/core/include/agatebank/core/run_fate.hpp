#pragma once

namespace agatebank
{

/// @brief Whether a task or a job has been executed, as far as can be told.
enum class run_fate
{
    not_run,      ///< no task was started and none will be
    may_have_run, ///< at least one task may have been started
    ran           ///< every task was started and answered
};

/// @brief Returns the word used in problem documents: "not-run",
/// "may-have-run" or "ran".
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
