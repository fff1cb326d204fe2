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
    duration left{};              ///< time until the objective
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

/// @brief Ratio of the slowest of @p n alike tasks to their mean: the
/// asymptotic expected maximum of n normal variables, exp(s sqrt(2 ln(n+1))).
double slowest_of(uint32_t n);

/// @brief Chooses the target of one task: the slowest that still ends in
/// time, the least used among those; the earliest end when none does.
///
/// Load pattern: long and short tasks come together and kinds of targets
/// differ in speed; short tasks have slack for slow targets, and every fast
/// target they take makes a long one late.
/// @return nothing when no target may run the task now
/// @complexity linear in the targets
std::optional<placement_choice> choose_target(const target_map& targets,
                                              const placement_request& request,
                                              const speed_lookup& speed,
                                              time_point now);

} // namespace agatebank
