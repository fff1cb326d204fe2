#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/execution_status.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <system_error>
#include <vector>

namespace agatebank
{

/// @brief The properties of a task that scheduling depends on. The caller of
/// the dispatcher keeps the payload.
struct task_request
{
    std::optional<duration> declared_run_time; ///< a hint, often inaccurate
};

/// @brief The properties of a job that scheduling depends on.
struct job_request
{
    job_key key;
    service_name service;
    caller_name caller;
    duration wait{}; ///< longest wait paid for, counted from admission
    bool never_delay = false;
    bool idempotent = false;
    std::vector<task_request> tasks;
};

/// @brief Number of slots of a target that are reserved for one service.
struct slot_reservation
{
    service_name service;
    unsigned slots = 0; ///< out of all slots of the target
};

/// @brief A target that can run tasks, as announced by its agent.
struct target_offer
{
    agent_incarnation agent;
    target_name target;
    failure_domain_name failure_domain;
    std::vector<service_name> services; ///< that the rules allow on it
    unsigned slots = 0;
    duration one_way_delay{}; ///< between this entry and the agent
    bool accepts_work = true; ///< false while leaving or draining
    std::vector<slot_reservation> reserved;
};

/// @brief Identifies a task of a job.
struct task_ref
{
    job_key job;
    task_index task;
    auto operator<=>(const task_ref&) const = default;
};

/// @brief A decision to start a task at a target now.
struct assignment
{
    task_ref task;
    agent_incarnation agent;
    time_point deadline; ///< after it, no caller waits for the result
};

/// @brief The result of an admission request.
struct admission
{
    std::error_code refusal; ///< empty when admitted
    duration retry_after{};  ///< if refused: delay before the next attempt
    time_point deadline;     ///< if admitted: end of the paid wait
};

/// @brief Outcome of a start that reached its target.
enum class task_outcome
{
    answered,   ///< the target returned a complete answer
    failed,     ///< the run failed or its answer was incomplete
    timed_out,  ///< the target did not answer before the deadline
    target_lost ///< the target ended the connection without a whole answer
};

/// @brief The demand of one entry, from which an agent computes its grant.
struct demand_report
{
    uint32_t queued = 0;    ///< waiting tasks that may run at this agent
    uint32_t in_flight = 0; ///< starts sent to this agent, unanswered
    duration least_slack{}; ///< time until the most urgent one must start
};

/// @brief Settings of the scheduling policy.
struct dispatch_options
{
    bool admission_control = true;
    bool ejection = true;
    bool learned_run_times = true;
    uint64_t seed = 1;    ///< of the random jitter
    unsigned entries = 3; ///< number of entries that share the targets
    double max_ejected_share = 0.34;
    bool retry_back_off = true;
    policy_weights weights;
};

/// @brief Makes the scheduling decisions of one entry: admission, order of
/// tasks, choice of target, and ejection of failing targets. It does no I/O
/// and reads no clock: the caller passes the time, which must not decrease.
///
/// A caller whose tasks are known to have crashed targets of a service is on
/// probation there: each of its jobs starts with one task, alone on one of the
/// targets of @ref select_probation_targets, which get no other work; once it
/// is answered, the others run on the remaining targets.
///
/// A task is waiting, in flight at one agent, or settled. Only
/// @ref on_not_run moves a task from in flight back to waiting.
class dispatcher
{
  public:
    // construction
    explicit dispatcher(dispatch_options options);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    // rules and membership
    /// @brief Sets the policy weights of the rules in force.
    void set_weights(const policy_weights& weights);
    /// @brief Sets the number of entries that share the targets, including
    /// this one.
    void set_entries(unsigned entries);

    // targets
    /// @brief Adds a target or replaces its offer.
    void put_target(const target_offer& offer, time_point now);
    /// @brief Sets the maximum number of unanswered starts at an agent.
    void set_grant(agent_incarnation agent, unsigned grant);
    /// @brief Removes an agent and its target.
    /// @return its tasks in flight; their outcome is unknown, and the
    /// dispatcher no longer tracks them
    std::vector<task_ref> remove_target(agent_incarnation agent);

    // jobs
    /// @brief Admits or refuses a job and queues the tasks of an admitted one.
    admission admit(const job_request& job, time_point now);
    /// @brief Removes a job and its waiting tasks. Its tasks in flight occupy
    /// their credits until they are reported.
    /// @return the tasks in flight and the agent of each
    std::vector<assignment> remove_job(job_key job);

    // reports
    /// @brief Reports the outcome of a start.
    /// @param run_time as measured by the agent
    void on_outcome(task_ref task, agent_incarnation agent,
                    task_outcome outcome, duration run_time, time_point now);
    /// @brief Reports that a start has not run at this agent and never will.
    /// The task returns to waiting unless its job was removed.
    void on_not_run(task_ref task, agent_incarnation agent, time_point now);

    // decisions
    /// @brief Assigns waiting tasks to free credits, most urgent first.
    std::vector<assignment> assign(time_point now);
    /// @brief Returns the jobs whose paid wait has passed while tasks are
    /// unsettled. The caller settles them and calls @ref remove_job.
    std::vector<job_key> overdue(time_point now) const;

    // lookup
    demand_report demand(agent_incarnation agent, time_point now) const;
    /// @brief Number of waiting tasks. @complexity O(1)
    std::size_t waiting_tasks() const;
    /// @brief Number of waiting tasks of one caller, checked against its
    /// quota.
    std::size_t waiting_tasks(const caller_name& caller) const;
    /// @brief Number of waiting tasks of one job.
    std::size_t waiting_tasks(job_key job) const;
    std::size_t in_flight_tasks() const;
    bool is_ejected(agent_incarnation agent, time_point now) const;
    /// @brief Learned speed of a target; 1 is the reference speed.
    double speed(agent_incarnation agent) const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace agatebank
