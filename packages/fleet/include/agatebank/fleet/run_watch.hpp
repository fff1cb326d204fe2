#pragma once

#include <agatebank/core/units.hpp>

#include <deque>

namespace agatebank
{

/// @brief Judges a target by the ends of its runs.
///
/// Load pattern: a target that fails or stalls all it starts is idle, so it
/// attracts the most work; and one that turned slow makes every job late
/// that has a task there.
class run_watch
{
  public:
    // modifiers
    /// @param measured time of a run that ended well
    /// @param expected of that run on a sound target of this kind
    void on_done(duration measured, duration expected, time_point now);
    /// @brief A run failed, or was stopped for lack of progress.
    void on_bad(time_point now);
    /// @brief The target began a new life.
    void reset();

    // lookup
    /// @brief Most of the latest runs ended badly.
    bool suspect(time_point now) const;
    /// @brief Measured over expected run time; 1 unless clearly more.
    double slowdown(time_point now) const;

  private:
    struct sample
    {
        time_point at;
        bool bad = false;
    };

    void add(bool bad, time_point now);

    std::deque<sample> samples_;
    double log_slowdown_ = 0;
    time_point slowdown_at_;
};

/// @brief What a listing says of the progress of one run.
struct run_progress
{
    duration age{};      ///< since its start was accepted
    duration expected{}; ///< of the whole run
    int percent = 0;     ///< of its work that is done
};

/// @brief Whether starting the task anew elsewhere ends clearly earlier than
/// waiting on.
///
/// Load pattern: tasks stand still or crawl on a few targets while others
/// run theirs at full speed.
bool is_stalled(const run_progress& progress);

} // namespace agatebank
