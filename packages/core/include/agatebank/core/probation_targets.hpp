#pragma once

#include <agatebank/core/ids.hpp>

#include <cstddef>
#include <set>
#include <vector>

namespace agatebank
{

/// @brief Selects the targets on which tasks that may crash them run, while all
/// other tasks keep to the rest: a third of a service's targets, at least one,
/// by a hash of the agent. Entries that know the same targets select the same
/// ones without a message. Targets that are away stay selected, so that not
/// more than this share is lost.
/// @param targets agents of all targets of the service
std::set<agent_incarnation>
select_probation_targets(const std::vector<agent_incarnation>& targets);

/// @brief Selects a given number of targets in the same order, so that a larger
/// selection includes each smaller one. Entries whose estimates differ a little
/// still agree on most targets.
/// @param count at least one is selected if there is any
std::set<agent_incarnation>
select_probation_targets(const std::vector<agent_incarnation>& targets,
                         std::size_t count);

/// @brief Number of probation targets before the crashes of a route can be
/// estimated: a third of a service's targets, at least one.
std::size_t initial_probation_targets(std::size_t targets);

} // namespace agatebank
