#pragma once

#include <agatebank/admin/live_status.hpp>
#include <agatebank/entry/entry_process.hpp>

#include <vector>

namespace agatebank
{

/// @brief The targets of all agents that an entry has not declared lost.
std::vector<target_status> list_targets(entry_process& entry);

/// @brief The entry itself, and the other entries and the agents that it has
/// not declared lost.
std::vector<process_status> list_processes(entry_process& entry);

} // namespace agatebank
