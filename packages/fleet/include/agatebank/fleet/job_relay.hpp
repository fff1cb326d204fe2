#pragma once

#include <agatebank/core/log.hpp>
#include <agatebank/core/relay_messages.hpp>
#include <agatebank/fleet/job_scheduler.hpp>
#include <agatebank/fleet/relay_decision.hpp>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace agatebank
{

/// @brief Receives the outcome of a job, at most once.
using job_answer = std::function<void(const job_outcome&)>;

/// @brief Callbacks that carry out what a job_relay decides.
struct job_relay_hooks
{
    std::function<void(relay_peer_id, const relayed_job&)> send_job;
    std::function<void(relay_peer_id, const relayed_outcome&)> send_outcome;
    std::function<void(relay_peer_id, const relay_cancel&)> send_cancel;
    /// Whether this entry has processor time and a target for relayed jobs.
    std::function<bool()> may_serve;
    /// Serves a job at this entry, which must not relay it.
    std::function<void(uint64_t number, job_submission, job_answer)> serve;
    /// Cancels the job that a request submitted, unless a later request has
    /// taken it over.
    std::function<void(uint64_t number, const char* why)> abandon;
    log_sink log;
};

/// @brief Event counts since construction.
struct job_relay_counts
{
    uint64_t relayed = 0;
    uint64_t answered = 0;        ///< of those, with the second's outcome
    uint64_t refused_by_peer = 0; ///< of those, then served here
    uint64_t lost = 0;            ///< of those, answered 504: link lost
    uint64_t received = 0;        ///< jobs that other entries relayed here
    uint64_t refused = 0;         ///< of those, not served here
};

/// @brief Relays whole jobs between two entries. The first entry keeps the
/// caller's answer of each job that it has relayed; the second serves the job
/// like one of its own callers. Does no I/O and reads no clock. Messages and
/// memory grow with the relayed jobs.
///
/// A job is relayed once, before any of its tasks has an order. From then on
/// only the second entry may run it, until it says that the job was not run or
/// the link is lost. In the latter case the first entry answers "abandoned" and
/// the second cancels the runs, each at the latest after the silence timeout.
class job_relay
{
  public:
    // construction
    explicit job_relay(job_relay_hooks hooks);

    /// @brief Whether a request number belongs to a relayed job rather than to
    /// a caller of this entry.
    static bool is_relay_request(uint64_t number) noexcept;

    // first entry
    /// @brief Relays a job.
    /// @param number of the caller's request, for @ref abandon
    void relay(relay_peer_id peer, uint64_t number, job_submission submission,
               job_answer done, time_point now);
    /// @brief Gives the outcome of a relayed job to a later request with the
    /// same id instead of the earlier one.
    /// @return whether the id is that of a relayed job; otherwise @p done is
    /// unchanged
    bool attach(const std::string& job, uint64_t number, job_answer& done);
    /// @brief The caller of a request has disconnected: cancels its job.
    /// @return whether the job was relayed
    bool abandon(uint64_t number);
    /// @brief Cancels a job, which is answered as abandoned.
    /// @return whether the job was relayed
    bool cancel(const std::string& job);
    bool is_relayed(const std::string& job) const;
    void on_outcome(relay_peer_id peer, const relayed_outcome& outcome,
                    time_point now);
    /// @brief Answers all relayed jobs as abandoned, and cancels them.
    void abandon_all(const char* why);
    /// @brief Ends the jobs that reached their deadline.
    void tick(time_point now);

    // second entry
    void on_job(relay_peer_id peer, const relayed_job& job);
    void on_cancel(relay_peer_id peer, const relay_cancel& cancel);

    // both
    /// @brief A link is lost: answers the jobs that were relayed over it as
    /// abandoned, and cancels those that were received over it.
    void on_peer_lost(relay_peer_id peer);

    // lookup
    /// @brief The number of jobs relayed by this entry, without an outcome.
    std::size_t size() const noexcept;
    /// @brief Whether a job is relayed over a link, in either direction.
    bool uses(relay_peer_id peer) const;
    const job_relay_counts& counts() const noexcept;

  private:
    struct sent_job
    {
        relay_peer_id peer;
        uint64_t number = 0;
        job_submission submission;
        job_answer done;
        time_point arrived; ///< at this entry, from its caller
        time_point sent;
        time_point deadline;
    };
    using received_key = std::pair<relay_peer_id, relay_id>;

    /// @brief Removes a relayed job from all maps.
    sent_job take(relay_id id);
    void give_up(relay_id id, const char* why);
    void answer(const received_key& key, const job_outcome& outcome);
    void log(log_level level, const std::string& job, std::string text) const;

    job_relay_hooks hooks_;
    std::map<relay_id, sent_job> sent_;
    std::unordered_map<std::string, relay_id> sent_by_job_;
    std::unordered_map<uint64_t, relay_id> sent_by_request_;
    std::map<received_key, uint64_t> received_; ///< request numbers
    job_relay_counts counts_;
    uint64_t last_id_ = 0;
    uint64_t last_number_ = 0;
};

/// @brief Converts a job for sending it to another entry.
/// @param remaining time until the outcome is useless
relayed_job to_relayed_job(relay_id id, const job_submission& submission,
                           duration remaining);

/// @brief Converts a received job.
/// @return nothing if its steps are invalid
std::optional<job_submission> to_submission(const relayed_job& job);

} // namespace agatebank
