#pragma once

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
/// and which grant the entry acts on. That fewer wait is told only when it
/// has held for a while: a queue that fills and drains in between is quiet.
class demand_reporter
{
  public:
    // modifiers
    /// @brief Whether to send this demand now; if so it counts as sent.
    /// @param grant_version version of the grant the entry acts on
    bool should_send(const demand_report& demand, uint64_t grant_version,
                     time_point now)
    {
        const auto queued = std::min(demand.queued, largest_queue);
        if (2 * queued >= queued_)
        {
            high_at_ = now;
        }
        const bool more = queued > 2 * queued_;
        const bool less = now - high_at_ > decrease_delay;
        if (!more && !less && grant_version == grant_version_)
        {
            return false;
        }
        queued_ = queued;
        grant_version_ = grant_version;
        high_at_ = now;
        return true;
    }

  private:
    /// Beyond it a longer queue asks for nothing more.
    static constexpr uint32_t largest_queue = 64;
    static constexpr duration decrease_delay = std::chrono::milliseconds(500);

    uint32_t queued_ = 0;
    uint64_t grant_version_ = 0;
    time_point high_at_;
};

} // namespace agatebank
