#pragma once

#include <agatebank/core/units.hpp>

#include <cstddef>
#include <deque>

namespace agatebank
{

/// @brief Estimates the time that an entry itself adds to its jobs, over the
/// last second.
///
/// Load pattern: a wave of short jobs at an entry with a small processor share.
/// Its process is throttled for most of each tenth of a second, so that jobs
/// end late although their targets have free capacity.
class own_delay_estimator
{
  public:
    // modifiers
    /// @brief Adds a run that is done.
    /// @param delay time from its order to its reported end that was neither
    /// queueing nor run time at the agent
    void on_run_end(duration delay, time_point now);
    /// @brief Adds a measured delay of the event loop, which a job has before
    /// its arrival is seen.
    void on_loop_lag(duration lag, time_point now);

    // lookup
    /// @brief Returns the median delay of an order, without the loop delay; 0
    /// if it is no longer than at an entry that is not slow, or with few runs,
    /// as single runs vary too much.
    duration order_delay(time_point now) const;
    /// @brief Returns the median delay of the event loop; 0 if none was
    /// measured.
    duration loop_lag(time_point now) const;

  private:
    struct sample
    {
        time_point at;
        duration value{};
    };
    using samples = std::deque<sample>;

    static void add(samples& to, duration value, time_point now);
    static duration median(const samples& of, std::size_t least,
                           time_point now);

    samples order_delays_;
    samples loop_lags_;
};

} // namespace agatebank
