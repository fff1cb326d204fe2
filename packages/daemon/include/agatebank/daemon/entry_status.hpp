#pragma once

#include <agatebank/admin/live_status.hpp>
#include <agatebank/entry/entry_process.hpp>

#include <vector>

namespace agatebank
{

/// @brief The targets of the agents that an entry knows.
std::vector<target_status> list_targets(entry_process& entry);

/// @brief The entry itself, the other entries and the agents it knows.
std::vector<process_status> list_processes(entry_process& entry);

} // namespace agatebank
