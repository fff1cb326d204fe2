#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/core/work_backlog.hpp>

#include <map>

namespace agatebank
{

/// @brief Rate of the work that callers offer, by the wait they pay for.
///
/// Admission withholds from longer waits the capacity that shorter waits are
/// expected to need, so that under overload the longest waits are refused
/// first. The forecast uses the rate of the last seconds for the next few
/// seconds and the rate of the last minute after that, so that a burst is not
/// expected to persist. Both are exponentially weighted averages. A wait of
/// zero stands for jobs that are never delayed.
class offered_load
{
  public:
    // modifiers
    void add(duration wait, work amount, time_point now);

    // lookup
    /// @brief Mean rate, in seconds of work per second, that waits shorter than
    /// @p wait are expected to offer during the next @p wait.
    /// @complexity O(n) for n different waits
    double rate_below(duration wait, time_point now) const;
    /// @brief Whether work with a longer wait was offered recently.
    bool has_longer(duration wait, time_point now) const;
    /// @brief Whether no work with a shorter wait was offered recently, apart
    /// from jobs that are never delayed.
    bool is_shortest(duration wait, time_point now) const;

  private:
    struct average
    {
        double recent = 0;
        double long_term = 0;
        time_point first;
        time_point updated;

        void add(double amount_s, time_point now);
        double recent_at(time_point now) const;
        double long_term_at(time_point now) const;
    };

    std::map<duration, average> by_wait_;
};

} // namespace agatebank
