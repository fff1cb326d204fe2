#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/run_fate.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <system_error>
#include <vector>

namespace agatebank
{

/// @brief One task of a job as the policy sees it; the payload stays with
/// the caller of the dispatcher.
struct task_request
{
    std::optional<duration> declared_run_time; ///< a hint, often far off
};

/// @brief One job as the policy sees it.
struct job_request
{
    job_key key;
    service_name service;
    caller_name caller;
    duration wait{}; ///< paid wait, from admission
    bool never_delay = false;
    bool idempotent = false;
    std::vector<task_request> tasks;
};

/// @brief Slots of a target that only one service may use.
struct slot_reservation
{
    service_name service;
    unsigned slots = 0; ///< of all slots of the target
};

/// @brief A target that can take work, as announced by its agent.
struct target_offer
{
    agent_incarnation agent;
    target_name target;
    failure_domain_name failure_domain;
    std::vector<service_name> services; ///< those the rules allow on it
    unsigned slots = 0;
    duration one_way_delay{}; ///< between this entry and the agent
    bool accepts_work = true; ///< false while leaving or draining
    std::vector<slot_reservation> reserved;
};

/// @brief A task of a job.
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
    time_point deadline; ///< past it nobody waits for the answer
};

/// @brief The answer to an admission.
struct admission
{
    std::error_code refusal; ///< empty when admitted
    duration retry_after{};  ///< with a refusal: when to try again
    time_point deadline;     ///< with an admission: end of the paid wait
};

/// @brief How a start that reached a target ended.
enum class task_outcome
{
    answered, ///< the target gave a whole answer
    failed,   ///< the target ran it and failed, or the answer was not whole
    timed_out ///< the target did not answer before the deadline
};

/// @brief The demand of this entry that agents grant slots by.
struct demand_report
{
    uint32_t queued = 0;    ///< tasks that wait and may run on this agent
    uint32_t in_flight = 0; ///< starts sent to this agent, unanswered
    duration least_slack{}; ///< of the most urgent waiting task
};

/// @brief Tunables of the policy.
struct dispatch_options
{
    bool admission_control = true;
    bool ejection = true;
    bool learned_run_times = true;
    uint64_t seed = 1;    ///< of the jitter
    unsigned entries = 3; ///< that share the targets
    double max_ejected_share = 0.34;
    bool retry_back_off = true;
    policy_weights weights;
};

/// @brief The decisions of one entry: admission, order, choice of target and
/// ejection. It has no I/O and no clock: the time is passed in, and never
/// goes back.
///
/// A task is waiting, in flight at one agent, or settled. The dispatcher
/// moves a task back to waiting only through @ref on_not_run.
class dispatcher
{
  public:
    // construction
    explicit dispatcher(dispatch_options options);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    // rules and membership
    /// @brief Sets the weights of the rules in force.
    void set_weights(const policy_weights& weights);
    /// @brief Sets the number of entries that share the targets, itself
    /// included.
    void set_entries(unsigned entries);

    // targets
    /// @brief Adds a target or replaces what is known of it.
    void put_target(const target_offer& offer, time_point now);
    /// @brief Sets the number of starts that may be unanswered at an agent.
    void set_grant(agent_incarnation agent, unsigned grant);
    /// @brief Forgets an agent. @return its tasks in flight, which leave the
    /// dispatcher's care: their outcome is unknown
    std::vector<task_ref> remove_target(agent_incarnation agent);

    // jobs
    /// @brief Decides on a job and queues its tasks when it is admitted.
    admission admit(const job_request& job, time_point now);
    /// @brief Takes back the waiting tasks of a job and forgets the job; its
    /// tasks in flight keep their credit until they are reported.
    /// @return the tasks in flight and the agent of each
    std::vector<assignment> remove_job(job_key job);

    // reports
    /// @brief A start was answered; run_time as measured by the agent.
    void on_outcome(task_ref task, agent_incarnation agent,
                    task_outcome outcome, duration run_time, time_point now);
    /// @brief An agent said that a start has not run and never will there;
    /// the task waits again unless its job was removed.
    void on_not_run(task_ref task, agent_incarnation agent, time_point now);

    // decisions
    /// @brief Uses free credits for waiting tasks, most urgent first.
    std::vector<assignment> assign(time_point now);
    /// @brief Jobs whose paid wait has passed with tasks unsettled; the
    /// owner settles them and calls @ref remove_job.
    std::vector<job_key> overdue(time_point now) const;

    // lookup
    demand_report demand(agent_incarnation agent, time_point now) const;
    /// @brief Tasks that wait for a start. @complexity constant
    std::size_t waiting_tasks() const;
    /// @brief Waiting tasks of one caller, for its quota.
    std::size_t waiting_tasks(const caller_name& caller) const;
    /// @brief Waiting tasks of one job.
    std::size_t waiting_tasks(job_key job) const;
    std::size_t in_flight_tasks() const;
    bool is_ejected(agent_incarnation agent, time_point now) const;
    /// @brief Learned speed of a target relative to speed 1.
    double speed(agent_incarnation agent) const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace agatebank
