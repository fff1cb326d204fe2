#pragma once

#include <agatebank/core/event.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace agatebank
{

/// @brief Merges the events of many processes into one order: by hybrid
/// stamp, then by process. An event that was sent is before its receipt, and
/// the events of one process keep their order. Copies of an event, as two
/// queries give them, appear once. The order of the sources does not matter.
/// @param sources events of any number of processes, in any order
/// @complexity n log n in the number of events
std::vector<event> merge_events(const std::vector<std::vector<event>>& sources);

/// @brief A table for people: one line an event, with the time in UTC and
/// the milliseconds since the first event.
/// @param events as given by @ref merge_events
std::string to_table(const std::vector<event>& events);

/// @brief The events in the Chrome trace-event format, for the trace viewers
/// that read it. Each process is a pid. The time from start_sent to
/// report_received and from run_began to run_ended is a span; spans of one
/// target that overlap lie on numbered threads, so that a busy target shows
/// one thread a slot. A flow joins a start with its run. Every other event is
/// an instant. A span without an end reaches to the last event and has the
/// argument "unfinished".
/// @param events as given by @ref merge_events
nlohmann::json to_chrome_trace(const std::vector<event>& events);

} // namespace agatebank
