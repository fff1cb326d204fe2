#pragma once

#include <agatebank/core/ids.hpp>

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

} // namespace agatebank
