#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/fleet/target_load_tracker.hpp>

#include <set>

namespace agatebank
{

/// @brief Selects the targets of a service on which tasks that may crash them
/// run, while all other tasks keep to the rest: a third of the targets, at
/// least one, by a hash of the agent. Entries that know the same targets select
/// the same ones without a message. Targets that are away stay selected, so
/// that not more than this share is lost.
std::set<agent_incarnation>
select_probation_targets(const target_map& targets,
                         const service_name& service);

} // namespace agatebank
