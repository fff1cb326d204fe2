#pragma once

#include <agatebank/core/strong_id.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace agatebank
{

/// @brief Identifies a timer within its queue; 0 means no timer.
using timer_id = strong_id<struct timer_id_tag, uint64_t>;

/// @brief Runs many timers on one GLib source. GLib iterates over all its
/// sources in each iteration of the loop, so thousands of timer sources would
/// slow down every iteration. Insertion and removal are logarithmic in the
/// number of timers.
class timer_queue
{
  public:
    using callback = std::function<void()>;

    // construction
    explicit timer_queue(event_loop& loop);

    // modifiers
    /// @brief Calls @p fn once after @p delay, with a resolution of 1 ms.
    timer_id schedule(duration delay, callback fn);
    /// @brief Cancels a timer; does nothing if it has expired or is unknown.
    void cancel(timer_id id);

    // capacity
    std::size_t size() const noexcept;

  private:
    using schedule_map = std::multimap<time_point, timer_id>;
    struct timer
    {
        schedule_map::iterator at;
        callback fn;
    };

    void arm_source();
    void run_due();

    event_loop& loop_;
    schedule_map schedule_;
    std::unordered_map<timer_id, timer> timers_;
    uint64_t last_id_ = 0;
    watch watch_;
    time_point armed_expiry_ = time_point::max();
};

} // namespace agatebank
