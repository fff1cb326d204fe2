#pragma once

#include <agatebank/core/target_port.hpp>
#include <agatebank/core/units.hpp>

#include <optional>

namespace agatebank
{

/// @brief Figures of the leases that a target grants.
struct lease_options
{
    duration longest = std::chrono::milliseconds(1000);
    /// a target's clock may be this share slow
    double clock_error = 0.02;
};

/// @brief What is known of the lease under which all runs of a target stand,
/// and of the target's clock. Pure.
///
/// Load pattern: calls to the target go unanswered. The lease is extended by
/// a call whose answer is lost, so it counts from the last extension sent;
/// extensions end early enough that all runs are gone a known time later.
class target_lease
{
  public:
    // construction
    explicit target_lease(lease_options options);

    // modifiers
    /// @brief An extension is about to be sent.
    void on_sent(time_point now);
    /// @brief The target answered a call.
    void on_answer(target_time clock, time_point now);
    /// @brief The target began a new life; its clock is unknown, and runs of
    /// the old one are gone when their lease has lapsed.
    void reset();

    // lookup
    /// @brief The target's clock now, as far as known; empty before an
    /// answer.
    std::optional<target_time> clock(time_point now) const;
    /// @brief Whether calls should extend the lease, and not only ask.
    bool may_extend(time_point now) const;
    /// @brief Whether the target was in touch lately.
    bool in_touch(time_point now) const;
    /// @brief Whether all runs have ended since no extension was sent.
    bool lapsed(time_point now) const;
    duration longest() const noexcept;

  private:
    lease_options options_;
    std::optional<target_time> clock_;
    time_point clock_at_;
    time_point last_answer_;
    time_point last_sent_;
};

} // namespace agatebank
