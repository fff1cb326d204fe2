#pragma once

#include <agatebank/core/strong_id.hpp>
#include <agatebank/core/units.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace agatebank
{

/// @brief Identifies a timer within its schedule; never reused.
using scheduled_id = strong_id<struct scheduled_id_tag, uint64_t>;

/// @brief Timers in the order of their expiry. Has no clock: its owner says
/// what time it is. Insertion and removal are logarithmic in the number of
/// timers.
class timer_schedule
{
  public:
    using callback = std::function<void()>;

    // modifiers
    /// @param at when to call @p fn
    /// @param period between later calls; zero: there are none
    scheduled_id add(time_point at, duration period, callback fn);
    /// @brief Cancels a timer; does nothing if it has expired or is unknown.
    void cancel(scheduled_id id);
    /// @brief Calls all timers that have expired at @p now, in the order in
    /// which they were added, as GLib does with timers of its own. A periodic
    /// timer expires again one period after @p now, however late it was.
    void run_due(time_point now);

    // lookup
    /// @brief When the next timer expires; empty if there is none.
    std::optional<time_point> next() const;
    std::size_t size() const noexcept;

  private:
    struct timer
    {
        time_point at;
        duration period;
        std::shared_ptr<const callback> fn;
    };

    std::map<scheduled_id, timer> timers_;
    std::set<std::pair<time_point, scheduled_id>> expiries_;
    uint64_t last_id_ = 0;
};

} // namespace agatebank
