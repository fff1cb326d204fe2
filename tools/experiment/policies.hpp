#pragma once

#include <agatebank/core/dispatcher.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// @file
/// The dispatch policies that the experiment compares, behind one interface.

namespace agatebank::experiment
{

/// @brief Dispatch policy of one entry. The functions have the meaning of those
/// of @ref dispatcher.
class entry_policy
{
  public:
    virtual ~entry_policy() = default;

    virtual void put_target(const target_offer& offer, time_point now) = 0;
    virtual void set_grant(agent_incarnation agent, unsigned grant) = 0;
    virtual std::vector<task_ref> remove_target(agent_incarnation agent) = 0;
    virtual admission admit(const job_request& job, time_point now) = 0;
    virtual std::vector<assignment> remove_job(job_key job) = 0;
    virtual void on_outcome(task_ref task, agent_incarnation agent,
                            task_outcome outcome, duration run_time,
                            time_point now) = 0;
    virtual void on_not_run(task_ref task, agent_incarnation agent,
                            time_point now) = 0;
    virtual std::vector<assignment> assign(time_point now) = 0;
    virtual std::vector<job_key> overdue(time_point now) const = 0;
    virtual demand_report demand(agent_incarnation agent,
                                 time_point now) const = 0;
    virtual std::size_t waiting_tasks() const = 0;
    virtual bool is_waiting(job_key job) const = 0;
};

/// @brief What an agent does with a start when all its slots are occupied.
enum class agent_queue
{
    none,     ///< refuses it as not run
    bounded,  ///< queues it up to the queue allowance
    unbounded ///< always queues it, first in, first out
};

/// @brief A policy with its options, as one row of the report.
struct policy_version
{
    std::string name;
    bool uses_credits = false;
    agent_queue queue = agent_queue::none;
    uint32_t queue_allowance = 0;
    bool cancels = true;          ///< agents are told of jobs that have ended
    bool carries_deadline = true; ///< agents refuse starts past the deadline
    /// whether starts are retried without limit while all targets are full
    bool retries_without_limit = false;
    dispatch_options options;
    /// creates the policy of one entry
    std::unique_ptr<entry_policy> (*make)(const dispatch_options&) = nullptr;
};

/// @brief The four compared versions: random target, power of two choices,
/// first in, first out with credits, and the dispatcher of this project.
std::vector<policy_version> all_versions();
/// @brief Versions in which one mechanism is disabled or changed.
std::vector<policy_version> all_variants();

} // namespace agatebank::experiment
