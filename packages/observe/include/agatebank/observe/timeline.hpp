#pragma once

#include <agatebank/core/event.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace agatebank
{

/// @brief Merges the events of many processes into one sequence, ordered by
/// hybrid clock stamp and then by process. The sending of a message comes
/// before its receipt, and the events of one process keep their order. An event
/// that occurs several times, as in the results of two queries, appears once.
/// The order of the sources does not matter.
/// @param sources events of any number of processes, in any order
/// @complexity O(n log n) in the number of events
std::vector<event> merge_events(const std::vector<std::vector<event>>& sources);

/// @brief Formats events as a text table: one line for each event, with the
/// time in UTC and the milliseconds since the first event.
/// @param events as returned by @ref merge_events
std::string to_table(const std::vector<event>& events);

/// @brief Converts events to the Chrome trace-event format, which trace viewers
/// read. Each process has a pid. The time from start_sent to report_received
/// and the time from run_began to run_ended are spans. Overlapping spans of one
/// target are placed on separate numbered threads, so that a fully used target
/// shows one thread for each slot. A flow connects a start with its run. Every
/// other event is an instant event. A span without an end extends to the last
/// event and has the argument "unfinished".
/// @param events as returned by @ref merge_events
nlohmann::json to_chrome_trace(const std::vector<event>& events);

} // namespace agatebank
