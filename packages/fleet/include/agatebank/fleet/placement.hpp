#pragma once

#include <agatebank/core/job_plan.hpp>
#include <agatebank/core/run_time_estimator.hpp>
#include <agatebank/fleet/locality_wait.hpp>
#include <agatebank/fleet/target_load_tracker.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace agatebank
{

/// @brief The requirements of one task, for choosing its target.
struct placement_request
{
    service_name service;
    const step_plan* step = nullptr;
    run_time_prediction expected; ///< of one task on a target of speed 1
    std::size_t band = 0;         ///< priority band of the route
    duration time_to_objective{}; ///< time until the objective
    /// ratio of the objective to the expected work: a job with more work than
    /// expected is allowed this multiple of the additional time
    double stretch = 0;
    /// targets that must not be used for this task
    const std::set<agent_incarnation>* excluded = nullptr;
    /// the only targets that may be used; null: all
    const std::set<agent_incarnation>* allowed = nullptr;
    /// targets that are kept for tasks that may crash them
    const std::set<agent_incarnation>* reserved = nullptr;
    /// number of tasks of the step already placed on each target
    const std::map<agent_incarnation, uint32_t>* placed = nullptr;
    /// factor on the run time on targets outside the rack of the step's data
    double remote_data_factor = 1;
    /// decides between targets in the rack of the step's data and others; null:
    /// all targets are ranked alike
    const locality_rule* locality = nullptr;
    duration time_to_last_useful{}; ///< time until the answer is useless
    bool may_wait_near_data = true; ///< see locality_input::may_wait
    /// the order may start behind all others of its target, so that the
    /// expected wait counts all bands
    bool behind_other_work = false;
};

/// @brief The target chosen for a task.
struct placement_choice
{
    agent_incarnation agent;
    duration run_time{}; ///< expected run time without a slowdown of the target
    duration finish{};   ///< expected time from now to the end, with queueing
    bool on_time = false;
    bool probe = false; ///< sent to a suspect target to test it
    /// set if the step names a rack that matters for the run time
    std::optional<locality_choice> locality;
};

/// @brief Returns the speed of a target relative to the estimator's speed 1.
using speed_lookup = std::function<double(agent_incarnation)>;

/// @brief Returns the expected ratio of the run time of the slowest of @p n
/// tasks of a step to that of a typical task.
///
/// It is exp(s max(0, sqrt(2 ln n) - 0.6)), where s is the standard deviation
/// of the logarithm of the run time. The factor of s approximates the expected
/// maximum of n standard normal variables within 0.06 for n up to 100.
double slowest_task_ratio(uint32_t n);

/// @brief Chooses the target for one task. Targets that hang some of their runs
/// count as later and as more utilised in proportion to that share. Among the
/// targets that finish the task in time it prefers those that are not crowded,
/// of these the ones that are still in time if the run takes a quarter longer,
/// then the slowest class of speeds, then the least utilised one. If none
/// finishes in time, it chooses the target with the earliest end. Where the
/// rack of the step's data matters, it applies this ranking in the rack and
/// outside it, and the locality rule decides between the two best.
///
/// Load pattern: long and short tasks arrive together, and kinds of targets
/// differ in speed. Short tasks have slack and can use slow targets; each fast
/// target that they occupy makes a long task late. The objective of a job grows
/// with its work, which is known only within a third. A target must therefore
/// be in time for less and for more work than expected: a job with less work
/// has the least slack for waiting in a queue, a job with more work the least
/// slack for a slow target. On a calm day, the tasks that a slow target ends
/// just in time are most of those that turn out late, while fast targets are
/// free.
/// @param speed returns the usual speed of a target
/// @return nothing if no target may run the task now
/// @complexity linear in the targets
std::optional<placement_choice> choose_target(const target_map& targets,
                                              const placement_request& request,
                                              const speed_lookup& speed,
                                              time_point now);

} // namespace agatebank
