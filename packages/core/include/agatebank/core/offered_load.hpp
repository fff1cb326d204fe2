#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/core/work_backlog.hpp>

#include <map>

namespace agatebank
{

/// @brief The work that callers offer, by the wait they pay for.
///
/// Admission keeps the capacity that shorter waits are expected to need from
/// longer waits, so that under overload the longest waits are refused first.
/// The expectation follows the rate of the last seconds for a few seconds and
/// the rate of the last minutes after them, so that a burst is not taken to
/// last. Both are exponentially weighted averages. A wait of zero stands for
/// what is never delayed.
class offered_load
{
  public:
    // modifiers
    void add(duration wait, work amount, time_point now);

    // lookup
    /// @brief Mean work a second per second that waits shorter than @p wait
    /// are expected to offer during @p wait.
    /// @complexity O(n) for n different waits
    double rate_below(duration wait, time_point now) const;
    /// @brief Whether a longer wait was offered lately.
    bool has_longer(duration wait, time_point now) const;
    /// @brief Whether no shorter wait, but what is never delayed, was offered
    /// lately.
    bool is_shortest(duration wait, time_point now) const;

  private:
    struct average
    {
        double recent = 0;
        double lasting = 0;
        time_point first;
        time_point updated;

        void add(double amount_s, time_point now);
        double recent_at(time_point now) const;
        double lasting_at(time_point now) const;
    };

    std::map<duration, average> by_wait_;
};

} // namespace agatebank
