#pragma once

#include <agatebank/core/job_plan.hpp>
#include <agatebank/core/run_time_estimator.hpp>
#include <agatebank/fleet/target_board.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace agatebank
{

/// @brief What the choice of a target depends on beside the targets.
struct placement_request
{
    service_name service;
    const step_plan* step = nullptr;
    run_time_prediction expected; ///< of one task on a target of speed 1
    std::size_t band = 0;         ///< of the route's priority
    duration left{};              ///< time until the objective, as expected
    double stretch = 0;           ///< of the work, which the objective allows
    /// targets not to be used again for this task
    const std::set<agent_incarnation>* excluded = nullptr;
    /// tasks of the step already on a target
    const std::map<agent_incarnation, uint32_t>* placed = nullptr;
    /// multiple of a run time where the step's data is not in the rack
    double remote_data_factor = 1;
};

/// @brief The target chosen for a task.
struct placement_choice
{
    agent_incarnation agent;
    duration run{};    ///< expected of one task while the target is sound
    duration finish{}; ///< expected from now, queue included
    bool on_time = false;
    bool probe = false; ///< to a suspect target, to see if it works again
};

/// @brief Speed of a target relative to the estimator's speed 1.
using speed_lookup = std::function<double(agent_incarnation)>;

/// @brief Ratio of the slowest of @p n tasks of a step to a typical one,
/// exp(s max(0, sqrt(2 ln n) - 0.6)): the second factor is the expected
/// maximum of n standard normal variables, within 0.06 for n up to 100.
double slowest_of(uint32_t n);

/// @brief Chooses the target of one task: the slowest that still ends in
/// time, the least used among those; the earliest end when none does.
///
/// Load pattern: long and short tasks come together and kinds of targets
/// differ in speed; short tasks have slack for slow targets, and every fast
/// target they take makes a long one late. The objective of a job grows with
/// its work, which is known only within a third: in a queue a job that turns
/// out short has the least time, on a slow target one that turns out long.
/// @return nothing when no target may run the task now
/// @complexity linear in the targets
std::optional<placement_choice> choose_target(const target_map& targets,
                                              const placement_request& request,
                                              const speed_lookup& speed,
                                              time_point now);

} // namespace agatebank
