#pragma once

#include <agatebank/core/target_interface.hpp>
#include <agatebank/core/units.hpp>

#include <optional>

namespace agatebank
{

/// @brief Limits of the leases that a target grants.
struct lease_options
{
    /// Of an extension. A target_lease limits it further, so that the lease
    /// ends before the callers of a lost entry submit their jobs again.
    duration max_duration = std::chrono::milliseconds(1000);
    /// the target's clock may run slow by up to this share
    double clock_error = 0.02;
};

/// @brief Tracks the lease that covers all runs on a target, and estimates the
/// target's clock. Does no I/O; the time is passed in.
///
/// Load pattern: calls to the target go unanswered. An extension may have taken
/// effect although its answer was lost, so the expiry is counted from the last
/// extension sent. Without answers, extensions stop before the lease is over,
/// so that it is known when all runs have ended.
class target_lease
{
  public:
    // construction
    explicit target_lease(lease_options options);

    // modifiers
    /// @brief Records that an extension is about to be sent.
    /// @param extension time from @p now for which it lets runs go on
    void on_extension_sent(duration extension, time_point now);
    /// @brief Records that a start is about to be sent. The target extends the
    /// lease to the end of its validity, if that is later.
    void on_start_sent(duration validity, time_point now);
    /// @brief Records an answer of the target.
    /// @param clock the target's time in the answer
    void on_answer(target_time clock, time_point now);
    /// @brief Discards the clock and the last answer, as the target has
    /// restarted. Runs of the earlier incarnation still end when the lease
    /// expires.
    void reset();

    // lookup
    /// @brief Estimate of the target's current time; empty before the first
    /// answer.
    std::optional<target_time> clock(time_point now) const;
    /// @brief Whether calls may extend the lease. Otherwise they only request
    /// the target's lists.
    bool may_extend(time_point now) const;
    /// @brief Time from @p now for which a call may let runs go on.
    /// @param oldest_heard when the entry that has been silent for longest sent
    /// its last message, of those with runs here; the runs have ended a bounded
    /// time after it, even if this process is paused from now on
    /// @return not positive if no run may go on
    duration extension(std::optional<time_point> oldest_heard,
                       time_point now) const;
    /// @brief Whether a run may start for an entry. The target keeps the lease
    /// that was granted before, also if the agent is paused right after the
    /// start, so the lease must end in time for the callers of this entry.
    /// @param heard when the entry sent its newest message
    bool allows_start(time_point heard) const;
    /// @brief Whether the target has answered recently enough to accept work.
    bool is_connected(time_point now) const;
    /// @brief Whether the lease has expired and the target has killed all runs
    /// under it.
    bool has_expired(time_point now) const;
    /// @brief Time from @p now until the lease has certainly expired, whether
    /// or not the target can be reached. Not negative.
    duration time_left(time_point now) const;
    duration max_duration() const noexcept;

  private:
    /// @brief When the target has killed all runs, if the lease isn't extended.
    time_point expiry() const;
    /// @brief Time after an entry's newest message by which its runs must have
    /// ended, by the lease's own count.
    duration longest_silence() const;

    lease_options options_;
    std::optional<target_time> clock_;
    time_point clock_at_;
    time_point last_answer_;
    time_point last_extension_sent_;
    time_point granted_until_; ///< latest end of all that was sent
};

} // namespace agatebank
