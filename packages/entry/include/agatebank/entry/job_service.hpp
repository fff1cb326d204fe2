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

/// @brief A job that is about to be admitted.
struct job_order
{
    submission_id submission;
    caller_name caller;
    job_document document;
    patience_rule patience;
    service_rule service;
};

/// @brief What the service tells its owner; called once for an admitted job.
using job_settled =
    std::function<void(const submission_id&, const job_settlement&)>;

/// @brief Counts of the jobs and tasks of this entry.
struct job_counts
{
    uint64_t admitted = 0;
    uint64_t refused = 0;
    uint64_t complete = 0;
    uint64_t failed = 0;
    uint64_t cancelled = 0;
    uint64_t starts = 0;
    uint64_t not_run_reports = 0;
};

/// @brief Runs admitted jobs: asks the dispatcher for decisions, sends the
/// starts, assembles the answers and settles each job once.
class job_service
{
  public:
    // construction
    job_service(event_loop& loop, timer_queue& timers, dispatcher& policy,
                agent_directory& agents, event_ring& events,
                job_settled settled);

    // jobs
    /// @brief Admits a job, or refuses it with nothing started.
    admission submit(job_order order);
    /// @brief Fails a job that is not settled; nobody waits for it any more.
    void cancel(const submission_id& id);
    /// @brief The settlement has reached the caller: the agents need not
    /// hold the answers any longer.
    void delivered(const submission_id& id);

    // rules
    /// @brief Sets the weights of the rules in force.
    void set_weights(const policy_weights& weights);

    // agents
    /// @brief The target of an agent may be used as offered.
    void offer(const target_offer& offer);
    /// @brief An agent takes no work for now.
    void withdraw(agent_incarnation agent);
    void on_grant(agent_incarnation agent, uint32_t credits);
    void on_report(agent_incarnation agent, task_ref task,
                   const start_report& report);
    void on_lost(agent_incarnation agent);

    // lookup
    bool is_running(const submission_id& id) const;
    std::size_t running_jobs() const noexcept;
    const job_counts& counts() const noexcept;
    std::size_t waiting_tasks(const caller_name& caller) const;

  private:
    struct job
    {
        job_order order;
        time_point admitted;
        timer_id deadline;
        std::vector<std::optional<std::string>> answers;
        std::size_t answered = 0;
        unsigned messages = 0;
        unsigned starts = 0;  ///< sent
        unsigned not_run = 0; ///< of them, proved not to have run
        std::vector<start_ref> sent;
        std::map<task_ref, start_ref> in_flight;
    };
    struct held_starts
    {
        std::vector<start_ref> starts;
        timer_id release;
        bool delivered = false;
    };

    void schedule_dispatch();
    void dispatch();
    void schedule_tick();
    void send_demands();
    void start(const assignment& a);
    void take_answer(job_key key, task_ref task, const start_report& report);
    void fail_job(job_key key, failure reason);
    void complete_job(job_key key);
    void finish(job_key key, job_settlement settlement);
    void release(const submission_id& id);
    run_fate fate_of(const job& j) const;
    void record(event_kind kind, const submission_id& id,
                const std::string& detail);

    event_loop& loop_;
    timer_queue& timers_;
    dispatcher& policy_;
    agent_directory& agents_;
    event_ring& events_;
    job_settled settled_;
    std::unordered_map<job_key, job> jobs_;
    std::unordered_map<submission_id, job_key> keys_;
    std::unordered_map<submission_id, held_starts> held_;
    std::map<agent_incarnation, demand_reporter> demands_;
    double waste_weight_ = 0.5;
    uint64_t last_key_ = 0;
    bool dispatch_pending_ = false;
    bool tick_pending_ = false;
    bool decrease_due_ = false; ///< an agent is to be told of less demand
    time_point demands_sent_;
    job_counts counts_;
};

} // namespace agatebank
