#pragma once

#include <agatebank/core/error.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/wire/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Why a start is refused, and at which step.
struct start_refusal
{
    errc code = errc::start_refused;
    const char* step = "";
};

/// @brief How a run ended.
struct run_result
{
    report_kind kind = report_kind::failed;
    errc error = errc::target_failed; ///< ignored when answered
    const char* step = "";            ///< step that failed
    duration run_time = {};
    std::string body = {}; ///< the target's answer
};

/// @brief What the ledger decided on an order.
enum class start_verdict : uint8_t
{
    accepted,  ///< new; it now waits to be begun
    known,     ///< a repeat; its report, if any, is sent again
    refused,   ///< new, and fenced: it never will be run here
    stale,     ///< below the acknowledged floor
    misplaced, ///< meant for another incarnation; nothing is recorded
    ignored    ///< the ledger is full; nothing is recorded or reported
};

/// @brief The word of a verdict, such as "accepted".
const char* to_word(start_verdict verdict) noexcept;

/// @brief What an agent holds of one submission.
struct held_starts
{
    std::vector<held_report> reported;
    uint32_t running = 0;
};

/// @brief The judge of the starts that one entry incarnation asks of one
/// agent incarnation. A start is run at most once, whatever is lost,
/// repeated or late; a start that was reported not run is never run.
///
/// Each sequence is unknown, queued, running or reported. A record leaves
/// only when the entry acknowledges a higher floor, and below the floor
/// nothing is taken. It has no I/O and no clock.
class start_ledger
{
  public:
    // construction
    /// @param self the incarnation that starts must name
    /// @param max_records bound on the tracked starts
    start_ledger(agent_incarnation self, std::size_t max_records);

    // starts
    /// @brief Decides on an order.
    /// @param refusal why no new start can be taken now, or null
    /// @complexity logarithmic in the tracked starts
    start_verdict judge(const start_order& order, int64_t now_us,
                        const start_refusal* refusal);
    /// @brief Marks a queued start as running.
    /// @return false when it must not be run any more
    bool begin(start_sequence sequence);
    /// @brief Ends a running start; its report is held until acknowledged.
    void finish(start_sequence sequence, run_result result);
    /// @brief Fences a queued start. @return whether it was queued
    bool refuse_queued(start_sequence sequence, const start_refusal& why);
    /// @brief Nobody waits for this start: fences it unless it has begun.
    void cancel(start_sequence sequence);
    /// @brief Raises the floor and drops the records below it.
    void acknowledge(start_sequence below);

    // gathering
    /// @brief Fences what has not begun of a submission, now and later.
    /// @param max_bytes of answers; a report beyond it is left out
    /// @return what is held of it
    held_starts gather(const submission_id& submission, std::size_t max_bytes);
    /// @brief Ends the fence of a gathered submission.
    void release_gathered(const submission_id& submission);

    // reports
    /// @brief Takes the reports that have to be sent, up to about
    /// @p max_bytes of answers, and at least one.
    std::vector<start_report> take_reports(std::size_t max_bytes);
    /// @brief All unacknowledged reports have to be sent again.
    void send_again();
    bool has_reports() const noexcept;

    // lookup
    bool is_queued(start_sequence sequence) const;
    std::size_t size() const noexcept;
    std::size_t queued() const noexcept;
    std::size_t running() const noexcept;
    /// @brief Reports that are not acknowledged yet.
    std::size_t unacknowledged() const noexcept;
    /// @brief The lowest sequence that may still be taken.
    start_sequence floor() const noexcept;
    /// @brief The lowest sequence above all that are tracked or settled.
    start_sequence ceiling() const noexcept;
    std::vector<start_sequence> queued_starts() const;
    /// @brief Submissions that are fenced.
    std::size_t gathered() const noexcept;

  private:
    enum class state : uint8_t
    {
        queued,
        running,
        reported
    };
    struct record
    {
        submission_id submission;
        patience_name patience;
        price job_price;
        std::string body;
        const char* step = "";
        int64_t run_time_us = 0;
        task_index task;
        uint32_t job_tasks = 0;
        int32_t error = 0;
        state now = state::queued;
        report_kind kind = report_kind::not_run;
        bool unsent = false;
    };
    using record_map = std::map<start_sequence, record>;

    const start_refusal* fence_for(const start_order& order, int64_t now_us,
                                   const start_refusal* refusal) const;
    void report_unrecorded(start_sequence sequence, report_kind kind,
                           const start_refusal& why);
    void fence(start_sequence sequence, record& r, const start_refusal& why);
    void mark_unsent(start_sequence sequence, record& r);
    static start_report to_report(start_sequence sequence, const record& r);

    agent_incarnation self_;
    std::size_t max_records_;
    start_sequence floor_;
    start_sequence ceiling_;
    record_map records_;
    std::set<submission_id> gathered_;
    std::vector<start_sequence> unsent_;
    std::vector<start_report> unrecorded_;
    std::size_t queued_ = 0;
    std::size_t running_ = 0;
};

} // namespace agatebank
