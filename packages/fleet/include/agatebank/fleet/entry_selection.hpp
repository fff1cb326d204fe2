#pragma once

#include <agatebank/core/entry_record.hpp>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Selects the entries that a process keeps links to: the best one of
/// each failure domain, then the best of the rest, by rendezvous hashing
/// (Thaler and Ravishankar, 1998).
///
/// Load pattern: hundreds of entries and agents. Links between all of them, and
/// the heartbeats and load reports on these, would take more time than the
/// work itself. With a fixed number of links for each agent, the links of an
/// entry follow its share of the targets. An entry that comes or goes moves
/// only the links to itself, so that processes need not agree on a roster.
/// @param process name of the process that selects
/// @param count number of entries to select, less if there are fewer
/// @complexity n log n in the entries; called after a change of the roster only
std::set<entry_address> select_entries(const std::string& process,
                                       const std::vector<entry_record>& entries,
                                       std::size_t count);

} // namespace agatebank
