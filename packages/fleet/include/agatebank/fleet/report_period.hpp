#pragma once

#include <agatebank/core/target_load.hpp>
#include <agatebank/core/units.hpp>

#include <cstddef>

namespace agatebank
{

/// @brief Shortest period between two load reports on a link, and the period of
/// a link on which the entry has not requested one.
constexpr duration min_report_period = std::chrono::milliseconds(25);
/// @brief Longest period between two load reports on a link.
constexpr duration max_report_period = std::chrono::milliseconds(400);

/// @brief Returns the period that an entry requests between the load reports
/// of each agent, so that receiving them takes a tenth of its processor share.
///
/// Load pattern: waves on an entry of 0.12 cores with 52 agents. Reports every
/// 25 ms would be 2,080 messages a second, whatever the entry's own work.
/// @param processor_share cores; 0 or less: not limited. A process with one
/// thread uses at most one core, whatever its share.
/// @param agents linked to the entry
/// @return 25 to 400 ms; 25 ms where the share is not limited
duration to_report_period(double processor_share, std::size_t agents);

/// @brief Returns the nearest valid period.
/// @param requested in any range, as received
duration clamp_report_period(duration requested) noexcept;

/// @brief Whether the longer of two periods exceeds the other by a quarter or
/// more, so that agents are told the new one.
bool is_new_report_period(duration in_force, duration period) noexcept;

/// @brief Returns the period between reports of small changes.
/// @param period between reports of large changes
/// @return four times the period, up to the longest period
duration small_change_report_period(duration period) noexcept;

/// @brief Whether two loads differ in class: accepts_work, suspect, cold or
/// capacity.
bool is_class_change(const target_load& a, const target_load& b);

} // namespace agatebank
