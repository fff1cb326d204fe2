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

/// @brief Addresses a start at its agent.
struct start_key
{
    entry_incarnation entry;
    start_sequence sequence;

    auto operator<=>(const start_key&) const = default;
};

/// @brief A start that is to be run now.
struct runnable_start
{
    start_key key;
    submission_id submission;
    task_index task;
    int64_t deadline_us = 0; ///< on the agent's process clock, 0: none
    service_name service;
    std::string payload;
};

/// @brief Decides whether a new start may be taken now; null: yes. Slots
/// and queue are not its matter.
using start_gate = std::function<const start_refusal*(const start_order&)>;

/// @brief All starts of one agent: a ledger for each entry incarnation, the
/// slots and the short queue that they share.
///
/// Never more starts run than there are slots, and never more wait than the
/// queue allowance. It has no I/O and no clock; the time is passed in.
class start_board
{
  public:
    // construction
    start_board(agent_incarnation self, const agent_limits& limits);

    // capacity
    /// @brief Sets the slots and the starts that may wait beyond them.
    void set_capacity(uint32_t slots, uint32_t queue_allowance);

    // starts
    /// @brief Judges an order of an entry.
    start_verdict on_order(entry_incarnation entry, start_order order,
                           int64_t now_us, const start_gate& gate);
    void on_cancel(entry_incarnation entry, const cancel_starts& m);
    void on_acknowledgement(entry_incarnation entry, const acknowledgement& m);
    /// @brief Begins the starts that have a slot; fences those past their
    /// deadline.
    std::vector<runnable_start> take_runnable(int64_t now_us);
    void on_run_ended(const start_key& key, run_result result);
    /// @brief Fences everything that has not begun.
    void refuse_all_queued(const start_refusal& why);

    // entries
    /// @brief Keeps an entry's ledger from being dropped.
    void on_entry_connected(entry_incarnation entry);
    /// @brief Fences the entry's queued starts; its reports are kept for
    /// the time of agent_limits::held_answers.
    void on_entry_lost(entry_incarnation entry, int64_t now_us);
    /// @brief What is held of a submission; fences it. Empty when too many
    /// submissions are fenced.
    std::optional<held_starts> gather(const submission_id& submission,
                                      int64_t now_us);
    /// @brief Drops what is kept no longer. @return when to call again on
    /// the agent's process clock, 0: not before something changes
    int64_t expire(int64_t now_us);

    // reports
    std::vector<start_report> take_reports(entry_incarnation entry,
                                           std::size_t max_bytes);
    void send_again(entry_incarnation entry);

    // lookup
    uint32_t slots() const noexcept;
    uint32_t queue_allowance() const noexcept;
    std::size_t running() const noexcept;
    std::size_t queued() const noexcept;
    std::size_t tracked() const noexcept;
    std::size_t unacknowledged() const noexcept;
    /// @brief Unfinished starts of one entry.
    std::size_t unfinished(entry_incarnation entry) const;
    bool has_reports(entry_incarnation entry) const;
    std::size_t known_entries() const noexcept;

  private:
    struct entry_starts
    {
        start_ledger ledger;
        bool lost = false;
        int64_t drop_at_us = 0; ///< of a lost entry's records
    };

    entry_starts& starts_of(entry_incarnation entry);
    const entry_starts* find(entry_incarnation entry) const;
    void drop_settled_queue();
    void forget_entries();

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
