#pragma once

#include <agatebank/core/credit_allocator.hpp>
#include <agatebank/core/dispatcher.hpp>

#include <algorithm>
#include <cstdint>

namespace agatebank
{

/// @brief Decides when an entry tells an agent its demand, so that a queue
/// that grows or shrinks by a few tasks costs no message.
///
/// The agent counts the starts it holds by itself; what it must hear is that
/// tasks wait, that their number changed by a factor of two below a limit,
/// and that the entry acts on a grant of fewer credits. That fewer wait is told
/// only when it has held for a while: a queue that fills and drains in between
/// is quiet.
class demand_reporter
{
  public:
    // construction
    /// @param waste_weight from 0 to 1: the more waste weighs, the longer a
    /// decrease waits
    explicit demand_reporter(double waste_weight = 0.5)
        : decrease_delay_(static_cast<int64_t>(
              waste_weight * static_cast<double>(longest_delay.count())))
    {
    }

    // modifiers
    /// @brief Whether to send this demand now; if so it counts as sent.
    /// @param grant the grant the entry acts on; only one that takes credits
    /// away has to be confirmed
    bool should_send(const demand_report& demand, const slot_grant& grant,
                     time_point now)
    {
        const auto queued = std::min(demand.queued, largest_queue);
        if (2 * queued >= queued_)
        {
            high_at_ = now;
        }
        const bool more = queued > 2 * queued_;
        const bool less = now - high_at_ > decrease_delay_;
        credits_ = std::max(credits_, grant.credits);
        if (!more && !less && grant.credits == credits_)
        {
            return false;
        }
        queued_ = queued;
        credits_ = grant.credits;
        high_at_ = now;
        return true;
    }

    // lookup
    /// @brief Whether a decrease is still to be told.
    bool owes_decrease(const demand_report& demand) const noexcept
    {
        return 2 * std::min(demand.queued, largest_queue) < queued_;
    }

  private:
    /// Beyond it a longer queue asks for nothing more.
    static constexpr uint32_t largest_queue = 64;
    static constexpr duration longest_delay = std::chrono::seconds(3);

    duration decrease_delay_;
    uint32_t queued_ = 0;
    uint32_t credits_ = 0; ///< largest since the last confirmed grant
    time_point high_at_;
};

} // namespace agatebank
