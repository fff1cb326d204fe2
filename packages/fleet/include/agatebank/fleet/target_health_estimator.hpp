#pragma once

#include <agatebank/core/units.hpp>

#include <deque>

namespace agatebank
{

/// @brief Estimates the health of a target from the ends of its runs.
///
/// Load pattern: a target that fails or stalls all its runs looks idle and
/// would therefore attract the most work. A target that has become slow delays
/// every job that has a task there.
class target_health_estimator
{
  public:
    // modifiers
    /// @brief Records a successful run.
    /// @param measured run time
    /// @param expected run time on a healthy target of this kind
    void on_done(duration measured, duration expected, time_point now);
    /// @brief Records a run that failed, could not be started, or was stopped
    /// for lack of progress.
    void on_failed(time_point now);
    /// @brief Records the end of a run for the share of runs that hang.
    /// @param hung whether it made no progress for long before it was stopped
    void on_run_end(bool hung, time_point now);
    /// @brief Discards all samples, for a new incarnation of the target.
    void reset();

    // lookup
    /// @brief Returns whether most of the latest runs failed.
    bool suspect(time_point now) const;
    /// @brief Returns the share of the latest runs that hung, or 0 while it
    /// rests on a single run.
    ///
    /// Load pattern: a target that hangs half of its runs has a low load and
    /// seldom becomes suspect, but a job of 8 tasks is late if one task hangs.
    /// @param hanging active runs that make no progress now
    double hang_share(std::size_t hanging, time_point now) const;
    /// @brief Returns the average ratio of measured to expected run time, or 1
    /// if it does not exceed the usual variation.
    double slowdown(time_point now) const;

  private:
    struct sample
    {
        time_point at;
        bool failed = false;
    };

    void add(bool failed, time_point now);

    std::deque<sample> run_ends_; ///< failed: the run hung
    std::deque<sample> samples_;
    double log_slowdown_ = 0;
    time_point slowdown_at_;
};

/// @brief Progress of one run, as listed by its target.
struct run_progress
{
    duration age{};      ///< time since the start of the run
    duration expected{}; ///< run time of the whole task
    int percent = 0;     ///< share of the work that is done
};

/// @brief Returns whether a run hangs.
/// @param unchanged time since its progress last changed
/// @param expected run time of the whole task
bool is_hanging(duration unchanged, duration expected);

/// @brief Returns whether restarting the task on another target is expected to
/// finish it clearly earlier than waiting for the run.
///
/// Load pattern: runs make little or no progress on a few targets, while other
/// targets run at full speed.
bool is_stalled(const run_progress& progress);

} // namespace agatebank
