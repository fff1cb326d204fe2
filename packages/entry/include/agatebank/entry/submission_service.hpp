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

/// @brief Bounds of the submissions that one entry keeps.
struct submission_limits
{
    /// time in which a reserved id may be used
    std::chrono::seconds validity{600};
    /// time for which a settled job's answer can be fetched
    std::chrono::seconds answer_retention{120};
    /// bytes of settled answers kept; beyond it the oldest are dropped
    std::size_t max_answer_bytes = 256U << 20U;
    /// records kept; beyond it new jobs are refused
    std::size_t max_records = 2'000'000;
    job_limits job;
};

/// @brief What the configuration says of a job that is to be submitted.
struct job_terms
{
    service_rule service;
    patience_rule patience;
};

/// @brief Finds the terms of a job, or why it is refused.
using terms_lookup = std::function<result<job_terms>(const caller_name& caller,
                                                     const job_document& job)>;

/// @brief The submissions that this entry incarnation issued: the only
/// process that may start their tasks.
///
/// A submission id is issued, used once with one body, settled, and dropped
/// when its validity and retention are over. An id past its validity without
/// a record is refused, so a dropped record cannot lead to a second start.
class submission_service
{
  public:
    // construction
    submission_service(event_loop& loop, timer_queue& timers,
                       entry_incarnation self, submission_id_codec codec,
                       terms_lookup terms, submission_limits limits);

    void set_jobs(job_service& jobs);

    // submissions
    /// @brief Reserves an id for a caller.
    std::string issue(const caller_name& caller);
    /// @brief Starts a job, or answers from its record when the id was used.
    /// Responds when the job is settled or @p wait has passed.
    void submit(const submission_id& id, const std::string& id_text,
                const caller_name& caller, const std::string& body,
                duration wait, http_responder respond);
    /// @brief Responds when the job is settled or @p wait has passed.
    void show(const submission_id& id, const std::string& id_text,
              duration wait, http_responder respond);
    /// @brief Cancels a job that is not settled and shows it.
    void cancel(const submission_id& id, const std::string& id_text,
                http_responder respond);

    // events
    void on_settled(const submission_id& id, const job_settlement& settlement);
    /// @brief Refuses new jobs from now on; those running go on.
    void refuse_new();

    // lookup
    const submission_limits& limits() const noexcept;
    std::size_t records() const noexcept;
    std::size_t waiters() const noexcept;

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
        bool dropped = false; ///< the answer is no longer kept
        run_fate fate = run_fate::not_run;
        std::string response; ///< JSON text of the settled job
        std::unordered_map<uint64_t, waiter> waiters;
    };

    std::chrono::seconds age() const;
    void start_job(const submission_id& id, const std::string& id_text,
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
    terms_lookup terms_;
    submission_limits limits_;
    job_service* jobs_ = nullptr;
    time_point started_;
    uint64_t last_sequence_ = 0;
    uint64_t last_waiter_ = 0;
    std::size_t waiters_ = 0;
    std::size_t answer_bytes_ = 0;
    std::deque<submission_id> settled_order_;
    bool refusing_ = false;
    std::unordered_map<submission_id, record> records_;
};

/// @brief The response that refuses a request; nothing of it was started.
http_response refusal(unsigned status, const failure& f);

} // namespace agatebank
