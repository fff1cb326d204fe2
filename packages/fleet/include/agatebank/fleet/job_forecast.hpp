#pragma once

#include <agatebank/core/job_plan.hpp>
#include <agatebank/core/route_table.hpp>
#include <agatebank/core/run_time_estimator.hpp>
#include <agatebank/core/target_load.hpp>

#include <map>

namespace agatebank
{

/// @brief Run times and speeds as an entry has learned them: run times by
/// route, speeds by target. Speed 1 is the geometric mean of the targets that
/// are known.
///
/// Load pattern: callers' estimates are off by some 40 %, and targets differ
/// in speed by more than two, also those of one kind.
class job_forecast
{
  public:
    // modifiers
    /// @brief Adds a target, or its next life; nothing of an earlier one
    /// holds. It is first taken to be as fast as those of its kind.
    void put_target(agent_incarnation agent, const target_profile& profile);
    void remove_target(agent_incarnation agent);
    /// @brief Takes in the time of one run.
    void learn(const route_name& route, const step_plan& step,
               agent_incarnation target, duration run);

    // lookup
    /// @brief Expected of one task at speed 1.
    run_time_prediction one_task(const route_name& route,
                                 const step_plan& step) const;
    /// @brief Expected of the longest chain of steps at speed 1, each step
    /// ending with its slowest task.
    duration longest_chain(const route_name& route, const job_plan& plan) const;
    double speed(agent_incarnation target) const;
    /// @brief Whether a target's speed has been learned, so that slower runs
    /// are a trouble of the target and not its usual speed.
    bool knows_speed(agent_incarnation target) const;

  private:
    double guess_speed(const std::string& kind) const;
    void renew_mean_speed();

    run_time_estimator times_{true};
    std::map<agent_incarnation, target_profile> targets_;
    double mean_speed_ = 1; ///< of the targets, as the estimator scales it
};

} // namespace agatebank
