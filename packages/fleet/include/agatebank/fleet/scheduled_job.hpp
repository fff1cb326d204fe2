#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/job_plan.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/core/route_table.hpp>
#include <agatebank/core/run_order.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/fleet/locality_wait.hpp>
#include <agatebank/fleet/order_return.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A job as submitted by a caller.
struct job_submission
{
    std::string id;
    route matched_route;
    config_version version; ///< of the configuration that defines the route
    job_plan plan;
    duration deadline{}; ///< from now; the caller waits no longer than this
    /// since the caller's request arrived, at another entry if it was relayed
    duration spent{};
};

/// @brief How a job ended for its caller.
enum class job_result : uint8_t
{
    succeeded,
    failed,   ///< a task failed as often as the route allows, or crashes
              ///< its targets
    not_run,  ///< refused; none of its tasks has run or will run
    abandoned ///< no result; tasks may have run, none keeps running
};

/// @brief The result of a job, as reported to its caller.
struct job_outcome
{
    job_result result = job_result::abandoned;
    duration retry_after{}; ///< set for not_run
    bool no_target = false; ///< not_run, as not every task has a target here
};

/// @brief Progress of a task of a running job.
enum class task_state : uint8_t
{
    blocked, ///< a step that it depends on is not complete, or the first
             ///< task of a job on probation is not done
    waiting,
    ordered,
    lost, ///< ordered at a lost agent or by an earlier submission of the job;
          ///< that run may go on
    done
};

/// @brief A task of a running job.
struct scheduled_task
{
    task_state state = task_state::blocked;
    order_id order;
    time_point ordered_at;
    agent_incarnation agent;
    uint32_t attempt = 0;
    uint32_t failures = 0;
    /// agent whose target was lost while the task was there, the last one
    std::optional<agent_incarnation> lost_at;
    uint32_t stalls = 0;
    time_point lost_until;
    bool isolated = false; ///< runs alone, on a probation target
    /// set once an agent has returned it early; its orders are then kept
    std::optional<order_return> returned;
    bool has_waited = false; ///< near its data; it waits there only once
    std::optional<locality_choice> wait; ///< near its data, not over yet
    /// its wait ended without a run, see starts_behind_others
    bool wait_given_up = false;
    std::set<agent_incarnation> excluded;
};

/// @brief A step of a running job.
struct scheduled_step
{
    std::vector<scheduled_task> tasks;
    uint32_t unfinished_tasks = 0;
    /// of the orders that ended last, of this step and of those before it
    duration own_delay{};
    std::map<agent_incarnation, uint32_t> placed;
};

/// @brief A job that an entry has received and not yet answered.
struct scheduled_job
{
    job_submission submission;
    std::vector<scheduled_step> steps;
    time_point arrived;
    time_point objective;
    time_point useful_until;
    time_point deadline;
    duration expected_finish{}; ///< from arrival, as admitted
    duration own_delay{};       ///< the entry's, of its step that ended last
    uint32_t unfinished_steps = 0;
    bool may_have_run = false;
    bool first_task_pending = false; ///< the others wait for its end
    bool held = false;               ///< waits for targets to be discovered
    uint32_t waiting_tasks = 0;      ///< tasks in state waiting or lost
};

/// @brief Returns whether any task of the job has run or may still run.
bool any_task_may_have_run(const scheduled_job& job);

} // namespace agatebank
