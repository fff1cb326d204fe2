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

/// @brief Why a start is refused, and the step that refused it.
struct start_refusal
{
    errc code = errc::start_refused;
    const char* step = "";
};

/// @brief Outcome of one run of a task at the target.
struct run_result
{
    report_kind kind = report_kind::failed;
    errc error = errc::target_failed; ///< not used when answered
    const char* step = "";            ///< the step that failed
    duration run_time = {};
    std::string body = {}; ///< body of the target's response
};

/// @brief The ledger's decision on a start order.
enum class start_verdict : uint8_t
{
    accepted,  ///< new; queued to be run
    known,     ///< duplicate; its report, if any, is sent again
    refused,   ///< new; recorded as not run and never run here
    stale,     ///< its sequence is below the acknowledged floor
    misplaced, ///< names another agent incarnation; not recorded
    ignored    ///< the ledger is full; not recorded, not reported
};

/// @brief Name of a verdict as it appears in events, such as "accepted".
const char* to_word(start_verdict verdict) noexcept;

/// @brief Reports and number of running starts that an agent has for one
/// submission.
struct gathered_starts
{
    std::vector<held_report> reported;
    uint32_t running = 0;
};

/// @brief Records the starts that one entry incarnation orders from one agent
/// incarnation, so that each is run at most once even when messages are lost,
/// duplicated or delayed. A start that was reported as not run is never run.
///
/// Each sequence is unknown, queued, running or reported. Acknowledgements
/// raise the floor, the lowest sequence that is still accepted (see
/// @ref acknowledged_below). A record is erased only when the floor passes it,
/// and every order below the floor is refused. The class does no I/O and reads
/// no clock.
class start_ledger
{
  public:
    // construction
    /// @param self the agent incarnation that an order must name
    /// @param max_records maximum number of starts that have a record
    start_ledger(agent_incarnation self, std::size_t max_records);

    // starts
    /// @brief Decides on a start order and records it if it is new.
    /// @param now_us current time on the agent's process clock, which the
    /// order's deadline is compared with
    /// @param refusal why no new start can be accepted now, or null
    /// @complexity logarithmic in the number of records
    start_verdict decide(const start_order& order, int64_t now_us,
                         const start_refusal* refusal);
    /// @brief Marks a queued start as running.
    /// @return false if it is no longer queued and must not be run
    bool begin(start_sequence sequence);
    /// @brief Records the result of a running start; its report is kept until
    /// it is acknowledged.
    void finish(start_sequence sequence, run_result result);
    /// @brief Refuses a queued start, so that it is reported as not run.
    /// @return whether it was queued
    bool refuse_queued(start_sequence sequence, const start_refusal& why);
    /// @brief Refuses a start unless it is already running or reported. A
    /// start that has not arrived yet is refused in advance.
    void cancel(start_sequence sequence);
    /// @brief Raises the floor to @p below and erases the records below it.
    /// The record of a running start is erased when the run ends.
    void acknowledge(start_sequence below);

    // gathering
    /// @brief Fences a submission: refuses its queued starts and, until
    /// @ref unfence, each new one.
    /// @param max_bytes maximum size of all answers in the result; the report
    /// that exceeds it and all later ones are left out
    /// @return the reports and running starts of the submission
    gathered_starts gather(const submission_id& submission,
                           std::size_t max_bytes);
    /// @brief Removes the fence of a submission.
    void unfence(const submission_id& submission);

    // reports
    /// @brief Takes the reports that are due to be sent, at least one if there
    /// is any. Stops once their answers reach @p max_bytes, so that the last
    /// one may exceed it.
    std::vector<start_report> take_reports(std::size_t max_bytes);
    /// @brief Marks all unacknowledged reports to be sent again.
    void resend_all();
    bool has_reports() const noexcept;

    // lookup
    bool is_queued(start_sequence sequence) const;
    std::size_t size() const noexcept;
    std::size_t queued() const noexcept;
    std::size_t running() const noexcept;
    /// @brief Number of reports that are not acknowledged yet.
    std::size_t unacknowledged() const noexcept;
    /// @brief The lowest sequence that is still accepted.
    start_sequence acknowledged_below() const noexcept;
    /// @brief The lowest sequence above all that were recorded or
    /// acknowledged.
    start_sequence next_sequence() const noexcept;
    std::vector<start_sequence> queued_starts() const;
    /// @brief Number of fenced submissions.
    std::size_t fenced_submissions() const noexcept;

  private:
    enum class start_state : uint8_t
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
        start_state state = start_state::queued;
        report_kind kind = report_kind::not_run;
        bool unsent = false;
    };
    using record_map = std::map<start_sequence, record>;

    const start_refusal* refusal_for(const start_order& order, int64_t now_us,
                                     const start_refusal* refusal) const;
    void report_unrecorded(start_sequence sequence, report_kind kind,
                           const start_refusal& why);
    void refuse(start_sequence sequence, record& r, const start_refusal& why);
    void mark_unsent(start_sequence sequence, record& r);
    static start_report to_report(start_sequence sequence, const record& r);

    agent_incarnation self_;
    std::size_t max_records_;
    start_sequence acknowledged_below_;
    start_sequence next_sequence_;
    record_map records_;
    std::set<submission_id> fenced_submissions_;
    std::vector<start_sequence> unsent_;
    std::vector<start_report> unrecorded_;
    std::size_t queued_ = 0;
    std::size_t running_ = 0;
};

} // namespace agatebank
