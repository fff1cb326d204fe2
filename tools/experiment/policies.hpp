#pragma once

#include <agatebank/core/dispatcher.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// @file
/// The versions that are measured side by side, behind one interface.

namespace agatebank::experiment
{

/// @brief Decisions of one entry; see @ref dispatcher for the functions.
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

/// @brief Where an agent puts a start beyond its slots.
enum class agent_queue
{
    none,     ///< refused, not run
    bounded,  ///< as far as the queue allowance goes
    unbounded ///< first in first out
};

/// @brief One version of the policy.
struct policy_version
{
    std::string name;
    bool uses_credits = false;
    agent_queue queue = agent_queue::none;
    uint32_t queue_allowance = 0;
    bool cancels = true;          ///< tells agents that nobody waits any more
    bool carries_deadline = true; ///< agents refuse a start past it
    bool storms = false;          ///< retries without end when targets are full
    dispatch_options options;
    /// makes the policy of one entry
    std::unique_ptr<entry_policy> (*make)(const dispatch_options&) = nullptr;
};

/// @brief naive, power of two choices, first in first out with credits, and
/// the design's.
std::vector<policy_version> all_versions();
/// @brief Versions with one mechanism switched off or changed.
std::vector<policy_version> all_variants();

} // namespace agatebank::experiment
