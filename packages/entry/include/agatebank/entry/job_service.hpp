#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/demand_reporter.hpp>
#include <agatebank/core/dispatcher.hpp>
#include <agatebank/core/event.hpp>
#include <agatebank/core/submission_id.hpp>
#include <agatebank/entry/agent_directory.hpp>
#include <agatebank/entry/job_document.hpp>
#include <agatebank/entry/job_settlement.hpp>
#include <agatebank/loop/timer_queue.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatebank
{

/// @brief A submitted job with the rules that apply to it.
struct submitted_job
{
    submission_id submission;
    caller_name caller;
    job_document document;
    patience_rule patience;
    service_rule service;
};

/// @brief Receives the settlement of a job; called once for each admitted job.
using job_settled_handler =
    std::function<void(const submission_id&, const job_settlement&)>;

/// @brief Counters of the jobs and starts of this entry since its start.
struct job_counts
{
    uint64_t admitted = 0;
    uint64_t refused = 0;
    uint64_t complete = 0;
    uint64_t failed = 0;
    uint64_t cancelled = 0;
    uint64_t starts = 0;          ///< starts sent to agents
    uint64_t not_run_reports = 0; ///< starts reported as not run
};

/// @brief Runs jobs: admits them and assigns their tasks through the
/// dispatcher, sends the starts to the agents, collects the answers and
/// settles each job once.
class job_service
{
  public:
    // construction
    job_service(event_loop& loop, timer_queue& timers,
                dispatcher& job_dispatcher, agent_directory& agents,
                event_ring& events, job_settled_handler on_settled);

    // jobs
    /// @brief Admits a job, or refuses it without starting any task.
    admission submit(submitted_job submitted);
    /// @brief Fails a job unless it is settled, and cancels its unanswered
    /// starts.
    void cancel(const submission_id& id);
    /// @brief Records that the settlement was sent to the caller, which
    /// shortens the time for which the agents retain the job's answers.
    void mark_delivered(const submission_id& id);

    // rules
    /// @brief Applies the policy weights of the rules in force.
    void set_weights(const policy_weights& weights);

    // agents
    /// @brief Adds the target of an agent, or updates it.
    void offer(const target_offer& offer);
    /// @brief Starts nothing at a disconnected agent until its next grant.
    void withdraw(agent_incarnation agent);
    /// @param credits starts that may be unanswered at the agent
    void on_grant(agent_incarnation agent, uint32_t credits);
    /// @brief Processes the first report of a start.
    void on_report(agent_incarnation agent, task_ref task,
                   const start_report& report);
    /// @brief Removes the target of a lost agent and fails each job with a
    /// task in flight there, as the outcome of the task is unknown.
    void on_lost(agent_incarnation agent);

    // lookup
    bool is_running(const submission_id& id) const;
    std::size_t running_jobs() const noexcept;
    const job_counts& counts() const noexcept;
    std::size_t waiting_tasks(const caller_name& caller) const;

  private:
    struct job
    {
        submitted_job submitted;
        time_point admitted;
        timer_id deadline;
        std::vector<std::optional<std::string>> answers;
        std::size_t answered = 0;
        unsigned messages = 0; ///< starts and reports
        unsigned starts = 0;   ///< starts sent
        unsigned not_run = 0;  ///< those of them reported as not run
        std::vector<start_ref> sent;
        std::map<task_ref, start_ref> in_flight;
    };
    /// starts of a settled job whose answers the agents still retain
    struct settled_starts
    {
        std::vector<start_ref> starts;
        timer_id release_timer;
        bool delivered = false;
    };

    void schedule_dispatch();
    void dispatch();
    void schedule_delayed_dispatch();
    void send_demands();
    void start(const assignment& a);
    void record_result(job_key key, task_ref task, const start_report& report);
    void fail_job(job_key key, failure reason);
    void complete_job(job_key key);
    void settle(job_key key, job_settlement settlement);
    void release(const submission_id& id);
    execution_status execution_status_of(const job& j) const;
    void record(event_kind kind, const submission_id& id,
                const std::string& detail);

    event_loop& loop_;
    timer_queue& timers_;
    dispatcher& dispatcher_;
    agent_directory& agents_;
    event_ring& events_;
    job_settled_handler on_settled_;
    std::unordered_map<job_key, job> jobs_;
    std::unordered_map<submission_id, job_key> keys_;
    std::unordered_map<submission_id, settled_starts> settled_starts_;
    std::map<agent_incarnation, demand_reporter> demand_reporters_;
    double waste_weight_ = 0.5;
    uint64_t last_key_ = 0;
    bool dispatch_pending_ = false;
    bool delayed_dispatch_pending_ = false;
    bool decrease_pending_ = false; ///< a lower demand is still to be sent
    time_point demands_evaluated_at_;
    job_counts counts_;
};

} // namespace agatebank
