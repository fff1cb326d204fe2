#pragma once

#include <agatebank/agent/agent_settings.hpp>
#include <agatebank/agent/start_ledger.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/wire/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace agatebank
{

/// @brief Identifies a start within one agent.
struct start_key
{
    entry_incarnation entry;
    start_sequence sequence;

    auto operator<=>(const start_key&) const = default;
};

/// @brief An accepted start with all that is needed to run its task.
struct runnable_start
{
    start_key key;
    submission_id submission;
    task_index task;
    int64_t deadline_us = 0; ///< on the agent's process clock; 0: none
    service_name service;
    std::string payload;
};

/// @brief Returns why a new start may not be accepted now, or null if it may.
/// Does not consider slots and queue, which start_scheduler checks itself.
using admission_check = std::function<const start_refusal*(const start_order&)>;

/// @brief Schedules all starts of one agent: has a ledger for each entry
/// incarnation, and the slots and the short queue that the entries share.
///
/// A start begins only while fewer starts run than there are slots, and a new
/// one is accepted only while fewer are running and queued than slots and
/// queue allowance together. Lowering the slots does not stop running starts.
/// The class does no I/O and reads no clock; the caller passes the time in
/// microseconds of the agent's process clock.
class start_scheduler
{
  public:
    // construction
    start_scheduler(agent_incarnation self, const agent_limits& limits);

    // capacity
    /// @brief Sets the number of slots and how many starts may be queued
    /// beyond them.
    void set_capacity(uint32_t slots, uint32_t queue_allowance);

    // starts
    /// @brief Accepts or refuses a start order of an entry. A start whose
    /// submission was issued by another entry is refused.
    start_verdict on_order(entry_incarnation entry, start_order order,
                           int64_t now_us, const admission_check& check);
    void on_cancel(entry_incarnation entry, const cancel_starts& m);
    void on_acknowledgement(entry_incarnation entry, const acknowledgement& m);
    /// @brief Marks queued starts as running while slots are free, and refuses
    /// those whose deadline has passed. @return the starts to run now
    std::vector<runnable_start> take_runnable(int64_t now_us);
    void on_run_ended(const start_key& key, run_result result);
    /// @brief Refuses all queued starts.
    void refuse_all_queued(const start_refusal& why);

    // entries
    /// @brief Marks an entry as connected, so that its records are kept
    /// without a time limit.
    void on_entry_connected(entry_incarnation entry);
    /// @brief Marks an entry as lost and refuses its queued starts. Its
    /// reports are kept for agent_limits::lost_entry_retention, so that another
    /// entry can gather them.
    void on_entry_lost(entry_incarnation entry, int64_t now_us);
    /// @brief Fences a submission for agent_limits::fence_duration, so that
    /// none of its starts begins any more.
    /// @return its reports and running starts, or nothing, without fencing it,
    /// if agent_limits::max_fenced_submissions submissions are fenced already
    std::optional<gathered_starts> gather(const submission_id& submission,
                                          int64_t now_us);
    /// @brief Erases the records of lost entries and the fences whose time is
    /// over.
    /// @return when to call again, on the agent's process clock; 0 if nothing
    /// is due to expire
    int64_t expire(int64_t now_us);

    // reports
    std::vector<start_report> take_reports(entry_incarnation entry,
                                           std::size_t max_bytes);
    void resend_all(entry_incarnation entry);

    // lookup
    uint32_t slots() const noexcept;
    uint32_t queue_allowance() const noexcept;
    std::size_t running() const noexcept;
    std::size_t queued() const noexcept;
    std::size_t tracked() const noexcept;
    std::size_t unacknowledged() const noexcept;
    /// @brief Number of running and queued starts of one entry.
    std::size_t unfinished(entry_incarnation entry) const;
    bool has_reports(entry_incarnation entry) const;
    std::size_t tracked_entries() const noexcept;

  private:
    struct entry_starts
    {
        start_ledger ledger;
        bool lost = false;
        int64_t expires_at_us = 0; ///< when a lost entry's records are erased
    };

    entry_starts& starts_of(entry_incarnation entry);
    const entry_starts* find(entry_incarnation entry) const;
    void prune_queue();
    void evict_lost_entries();

    agent_incarnation self_;
    agent_limits limits_;
    uint32_t slots_ = 0;
    uint32_t queue_allowance_ = 0;
    std::map<entry_incarnation, entry_starts> entries_;
    std::deque<runnable_start> queue_;
    std::size_t running_ = 0;
    std::map<submission_id, int64_t> fenced_until_us_;
};

} // namespace agatebank
