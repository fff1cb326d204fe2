#pragma once

#include <agatebank/core/units.hpp>

#include <cstdint>

namespace agatebank
{

/// @brief Number of runs after which a speed counts as learned. Run times of
/// similar tasks deviate from their estimates by some 40 %, so the mean of 16
/// runs is off by about 10 %.
constexpr uint32_t min_learned_runs = 16;

/// @brief Learns the speed of a target from the runs that its agent sees: the
/// moving average of the logarithm of reference over measured run time.
///
/// Load pattern: many entries share the targets, so each entry sees few runs
/// of each target, and a restarted entry none. The agent sees all runs of its
/// target and tells every entry the result.
class target_speed_estimator
{
  public:
    // modifiers
    /// @param reference run time expected at speed 1
    void observe(duration reference, duration measured);
    /// @brief Forgets the speed, for a new incarnation of the target.
    void reset();

    // lookup
    /// @brief Speed in the scale of the references; 1 before the first run.
    double speed() const;
    /// @brief Number of runs observed.
    uint32_t runs() const noexcept;
    bool is_learned() const noexcept;

  private:
    uint32_t runs_ = 0;
    double log_speed_ = 0;
};

} // namespace agatebank
