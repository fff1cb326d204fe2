#pragma once

#include <agatebank/core/credit_allocator.hpp>
#include <agatebank/core/dispatcher.hpp>

#include <algorithm>
#include <cstdint>

namespace agatebank
{

/// @brief Decides when an entry reports its demand to an agent, so that a queue
/// that grows or shrinks by a few tasks causes no message.
///
/// The agent counts unanswered starts by itself. The entry has to report that
/// tasks wait, that the queue length, up to a limit, changed by a factor of
/// two, and that it acts on a grant of fewer credits. A decrease is reported
/// only after it has lasted for a while, so that a queue that drains and fills
/// again causes no messages.
class demand_reporter
{
  public:
    // construction
    /// @param waste_weight weight of wasted work, from 0 to 1; a higher weight
    /// delays the report of a decrease longer
    explicit demand_reporter(double waste_weight = 0.5)
        : decrease_delay_(static_cast<int64_t>(
              waste_weight * static_cast<double>(longest_delay.count())))
    {
    }

    // modifiers
    /// @brief Decides whether to send this demand now and records it as sent.
    /// @param grant the grant the entry acts on; only a grant of fewer credits
    /// has to be confirmed
    /// @return whether the caller has to send the demand
    bool should_send(const demand_report& demand, const slot_grant& grant,
                     time_point now)
    {
        const auto queued = std::min(demand.queued, largest_queue);
        if (2 * queued >= queued_)
        {
            last_high_at_ = now;
        }
        const bool increased = queued > 2 * queued_;
        const bool decreased = now - last_high_at_ > decrease_delay_;
        credits_ = std::max(credits_, grant.credits);
        if (!increased && !decreased && grant.credits == credits_)
        {
            return false;
        }
        queued_ = queued;
        credits_ = grant.credits;
        last_high_at_ = now;
        return true;
    }

    // lookup
    /// @brief Whether a decrease of the queue has not been reported yet.
    bool owes_decrease(const demand_report& demand) const noexcept
    {
        return 2 * std::min(demand.queued, largest_queue) < queued_;
    }

  private:
    /// Queue lengths above it are reported as equal.
    static constexpr uint32_t largest_queue = 64;
    static constexpr duration longest_delay = std::chrono::seconds(3);

    duration decrease_delay_;
    uint32_t queued_ = 0;
    uint32_t credits_ = 0;    ///< largest since the last confirmed grant
    time_point last_high_at_; ///< last time without a decrease by half
};

} // namespace agatebank
