#pragma once

#include <agatebank/core/job_plan.hpp>
#include <agatebank/core/route_table.hpp>
#include <agatebank/core/run_time_estimator.hpp>
#include <agatebank/core/target_load.hpp>

#include <map>
#include <optional>

namespace agatebank
{

/// @brief Predicts run times from the runs that an entry has observed: learns
/// run times by route and speeds by target. Speed 1 is the geometric mean of
/// the speeds of all current targets.
///
/// Load pattern: callers' estimates are off by some 40 %, and the speeds of
/// targets differ by a factor of more than 2, even within one kind.
class job_forecast
{
  public:
    // modifiers
    /// @brief Adds a target, or a new incarnation of it, for which everything
    /// learned about the previous one is discarded. The initial speed is the
    /// geometric mean over the targets of the same kind whose speed has been
    /// learned, or over all targets if there is none.
    void put_target(agent_incarnation agent, const target_profile& profile);
    void remove_target(agent_incarnation agent);
    /// @brief Takes over a speed that the target's agent has learned.
    /// @param speed in the scale of @ref reference_time
    void set_learned_speed(agent_incarnation agent, double speed);
    /// @brief Updates the estimates with the run time of one task.
    /// @param run measured run time
    void learn(const route_name& route, const step_plan& step,
               agent_incarnation target, duration run);

    // lookup
    /// @brief Returns the expected run time of one task at speed 1.
    run_time_prediction task_run_time(const route_name& route,
                                      const step_plan& step) const;
    /// @brief Returns the expected run time of the critical path of a job at
    /// speed 1. A step takes as long as its slowest task.
    duration longest_chain(const route_name& route, const job_plan& plan) const;
    /// @brief Converts the expected run time at a target to the time at a
    /// target whose speed is 1 in the scale that entries and agents share.
    /// That scale is the estimator's own: entries that take over the speeds of
    /// the same agents come to the same scale.
    /// @return nothing before the run times of the route are learned
    std::optional<duration> reference_time(const route_name& route,
                                           agent_incarnation target,
                                           duration expected) const;
    /// @brief Returns the speed of a target relative to speed 1.
    double speed(agent_incarnation target) const;
    /// @brief Returns whether enough runs were observed to know the usual speed
    /// of a target. Only then do slower runs indicate a fault of the target.
    bool has_learned_speed(agent_incarnation target) const;

  private:
    double initial_speed(const std::string& kind) const;
    void update_mean_speed();
    void scale_mean_speed(double factor);

    run_time_estimator times_{true};
    std::map<agent_incarnation, target_profile> targets_;
    double mean_speed_ = 1; ///< geometric mean, in the estimator's scale
};

} // namespace agatebank
