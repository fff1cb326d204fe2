#pragma once

#include <agatebank/fleet/placement.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A target considered for a task.
struct explained_target
{
    agent_incarnation agent;
    std::string target; ///< id under which it announces itself
    std::string rank;   ///< components of its rank in words
    /// component that decided against it; empty for the chosen target
    std::string decided_by;
    /// since its last load report; nothing if there is none yet
    std::optional<duration> load_age;
};

/// @brief Why a task is sent to a target.
struct placement_explanation
{
    std::optional<explained_target> chosen;
    std::vector<explained_target> passed_over; ///< the best ones first
    /// decision between the rack of the data and others; empty if there is none
    std::string locality;
    std::size_t unusable = 0; ///< targets that may not run the task now
};

/// @brief Reports which target choose_target chooses for a request, and why.
/// Changes nothing.
/// @param most number of targets that were passed over to report
/// @complexity n log m for n targets, of which m are reported
placement_explanation explain_placement(const target_map& targets,
                                        const placement_request& request,
                                        const speed_lookup& speed,
                                        time_point now, std::size_t most);

} // namespace agatebank
