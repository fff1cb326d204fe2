#pragma once

#include <agatebank/core/job_plan.hpp>
#include <agatebank/core/route_table.hpp>
#include <agatebank/core/run_time_estimator.hpp>
#include <agatebank/fleet/target_board.hpp>

#include <map>

namespace agatebank
{

/// @brief Run times and speeds as an entry has learned them: run times by
/// route, speeds by kind of target. Speed 1 is the geometric mean of the
/// targets that are known.
///
/// Load pattern: callers' estimates are off by some 40 %, and kinds of
/// targets differ in speed by more than two.
class job_forecast
{
  public:
    // modifiers
    /// @brief Sets the targets whose mean speed is 1.
    void set_targets(const target_map& targets);
    /// @brief Takes in the time of one run on a sound target.
    void learn(const route_name& route, const step_plan& step,
               const target_profile& target, duration run);

    // lookup
    /// @brief Expected of one task at speed 1.
    run_time_prediction one_task(const route_name& route,
                                 const step_plan& step) const;
    /// @brief Expected of the longest chain of steps at speed 1, each step
    /// ending with its slowest task.
    duration longest_chain(const route_name& route, const job_plan& plan) const;
    double speed(const target_profile& target) const;

  private:
    void renew_mean_speed();

    run_time_estimator times_{true};
    std::map<agent_incarnation, unsigned> kinds_; ///< targets of each kind
    double mean_speed_ = 1; ///< of the targets, as the estimator scales it
};

} // namespace agatebank
