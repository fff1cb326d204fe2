#pragma once

#include <agatebank/fleet/placement.hpp>

#include <compare>
#include <functional>

namespace agatebank
{

/// @brief Order of preference of a target for a task; lower is better.
struct target_rank
{
    bool late = false;
    bool crowded = false; ///< false if late
    /// a cold target in time would be preferred as a slow one, so it follows
    /// the warm ones that are as crowded; false if late
    bool cold = false;
    bool unsafe = false; ///< not in time if the run takes longer than expected
    /// class of the speed if in time, expected end in us if late
    double speed_or_finish = 0;
    double utilisation = 0; ///< with the task; above 1 if it has to wait

    auto operator<=>(const target_rank&) const = default;
};

/// @brief A target that may run a task now.
struct ranked_target
{
    target_rank rank;
    placement_choice choice;
    place_forecast forecast;
    /// outside the rack of the step's data, where that matters for the run time
    bool outside_rack = false;
};

/// @brief Passes each target that may run the task now to a function, in the
/// order of their agents.
void visit_ranked_targets(
    const target_map& targets, const placement_request& request,
    const speed_lookup& speed, time_point now,
    const std::function<void(const ranked_target&)>& visit);

} // namespace agatebank
