#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/submission_id.hpp>
#include <agatebank/entry/job_service.hpp>
#include <agatebank/http/http_server.hpp>
#include <agatebank/loop/timer_queue.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatebank
{

/// @brief Limits on the submissions that one entry stores.
struct submission_limits
{
    /// time for which a reserved id may be used to submit a job
    std::chrono::seconds validity{600};
    /// time for which a settled job's answer can be fetched
    std::chrono::seconds answer_retention{120};
    /// bytes of stored answers; beyond it the oldest answers are dropped
    std::size_t max_answer_bytes = 256U << 20U;
    /// stored records; at this number new jobs are refused
    std::size_t max_records = 2'000'000;
    job_limits job;
};

/// @brief The configured rules that apply to a submitted job.
struct job_rules
{
    service_rule service;
    patience_rule patience;
};

/// @brief Looks up the rules that apply to a job.
/// @return the rules, or the reason for which the job is refused
using job_rules_lookup = std::function<result<job_rules>(
    const caller_name& caller, const job_document& job)>;

/// @brief Stores the submissions whose ids this entry incarnation issued. No
/// other process starts their tasks.
///
/// An id is issued, used for one job with one request body, and settled; its
/// record is dropped when the answer has been dropped and the validity of the
/// id has ended. An expired id without a record is refused, so that a dropped
/// record cannot lead to a second start of the job.
class submission_service
{
  public:
    // construction
    /// @param self the incarnation that the issued ids name as their issuer
    /// @param find_rules called for each new job, before admission
    submission_service(event_loop& loop, timer_queue& timers,
                       entry_incarnation self, submission_id_codec codec,
                       job_rules_lookup find_rules, submission_limits limits);

    /// @brief Sets the service that runs the jobs; called before any request.
    void set_jobs(job_service& jobs);

    // submissions
    /// @brief Issues a submission id to a caller.
    /// @return the text of the id
    std::string issue(const caller_name& caller);
    /// @brief Submits a job. A repeated request with the same id and body
    /// starts nothing and is answered from the record of the first; a
    /// different body under the same id is refused (409).
    ///
    /// Responds when the job is settled, or with state "running" (202) when
    /// @p wait has passed.
    /// @param body the job as JSON text
    void submit(const submission_id& id, const std::string& id_text,
                const caller_name& caller, const std::string& body,
                duration wait, http_responder respond);
    /// @brief Reports on a submission. Responds when the job is settled, or
    /// with state "running" (202) when @p wait has passed.
    void show(const submission_id& id, const std::string& id_text,
              duration wait, http_responder respond);
    /// @brief Cancels the job unless it is settled, then responds like
    /// @ref show.
    void cancel(const submission_id& id, const std::string& id_text,
                http_responder respond);

    // events
    /// @brief Stores the settlement of a job and answers the requests that
    /// wait for it.
    void on_settled(const submission_id& id, const job_settlement& settlement);
    /// @brief Refuses new jobs from now on; running jobs continue.
    void refuse_new_jobs();

    // lookup
    const submission_limits& limits() const noexcept;
    /// @brief Number of stored submissions.
    std::size_t records() const noexcept;
    /// @brief Number of requests that wait for a settlement.
    std::size_t waiting_callers() const noexcept;

  private:
    struct waiter
    {
        http_responder respond;
        timer_id timeout;
    };
    struct record
    {
        std::string id_text;
        std::string body_digest;
        bool settled = false;
        bool answer_dropped = false; ///< `response` is no longer stored
        execution_status status = execution_status::not_run;
        std::string response; ///< JSON text of the settlement
        std::unordered_map<uint64_t, waiter> waiters;
    };

    /// @brief Whole seconds since this entry incarnation started.
    std::chrono::seconds uptime() const;
    void admit_job(const submission_id& id, const std::string& id_text,
                   const caller_name& caller, const std::string& body,
                   duration wait, http_responder respond);
    void wait_for(const submission_id& id, record& r, duration wait,
                  http_responder respond);
    void respond_settled(const submission_id& id, const record& r,
                         const http_responder& respond);
    void respond_unknown(const submission_id& id,
                         const http_responder& respond) const;
    void drop_answer(const submission_id& id);
    void drop_record(const submission_id& id);

    event_loop& loop_;
    timer_queue& timers_;
    entry_incarnation self_;
    submission_id_codec codec_;
    job_rules_lookup find_rules_;
    submission_limits limits_;
    job_service* jobs_ = nullptr;
    time_point started_;
    uint64_t last_sequence_ = 0;
    uint64_t last_waiter_ = 0;
    std::size_t waiting_callers_ = 0;
    std::size_t answer_bytes_ = 0;
    std::deque<submission_id> settled_order_; ///< oldest settlement first
    bool refusing_new_jobs_ = false;
    std::unordered_map<submission_id, record> records_;
};

/// @brief Makes the problem response to a refused request, which states that
/// nothing was run ("not-run").
http_response refusal_response(unsigned status, const failure& f);

} // namespace agatebank
