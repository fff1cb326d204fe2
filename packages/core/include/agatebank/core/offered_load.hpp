#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/core/work_backlog.hpp>

#include <map>

namespace agatebank
{

/// @brief Rate of the work that callers offer, by the wait they pay for.
///
/// Admission keeps the capacity that shorter waits are expected to need from
/// longer waits, so that under overload the longest waits are refused first.
/// The rate is an exponentially weighted average over a few seconds.
class offered_load
{
  public:
    // modifiers
    void add(duration wait, work amount, time_point now);

    // lookup
    /// @brief Work a second per second, of waits shorter than @p wait.
    /// @complexity O(n) for n different waits
    double rate_below(duration wait, time_point now) const;
    /// @brief Whether a longer wait was offered lately.
    bool has_longer(duration wait, time_point now) const;
    /// @brief Whether no shorter wait was offered lately.
    bool is_shortest(duration wait, time_point now) const;

  private:
    struct average
    {
        double rate = 0;
        time_point updated;

        double at(time_point now) const;
    };

    std::map<duration, average> by_wait_;
};

} // namespace agatebank
