#pragma once

#include <agatebank/core/units.hpp>

#include <cstdint>
#include <optional>

namespace agatebank
{

/// @brief The expectations about an arriving job in an entry that is still
/// discovering targets. Times are relative to now.
struct arrival_hold_input
{
    duration since_start{};      ///< age of the entry's process
    duration discovery_window{}; ///< from its start; 0: jobs are never held
    /// since the latest target was discovered; unset: none is known
    std::optional<duration> since_discovery;
    /// each task has a target, and the end is expected while it is useful
    bool servable = false;
    duration expected_finish{}; ///< if servable, with queueing
    duration shortest_finish{}; ///< run time of the longest chain of tasks
    duration objective{};       ///< until then an end is on time
    duration latest_useful{};   ///< until then an answer is useful
};

/// @brief What to do with an arriving job.
enum class arrival_action : uint8_t
{
    place,
    hold, ///< decide again when more targets may be known
    refuse
};

/// @brief Decides whether a job waits for further targets to be discovered.
///
/// Load pattern: all VMs return from a power loss at once. Callers are back
/// before the agents have announced their targets, so that the first jobs find
/// no target, and the next ones crowd the first targets that are known.
///
/// Within the discovery window a job is placed if it is expected to be on time,
/// or late for another reason than crowded targets. Otherwise it is held while
/// its answer can still be useful. Discovery is over early once no further
/// target has been discovered for a while.
arrival_action decide_arrival(const arrival_hold_input& input);

/// @brief Returns for how long a job is held that arrives before the entry has
/// its first configuration; 0: it is refused at once.
///
/// Load pattern: as above. Callers are back before the table service has
/// answered, and a job without a route can't be known to be unservable. It is
/// held while the configuration is expected, no longer than a short job's
/// answer could be useful and half of the time that its caller waits.
/// @param since_start age of the entry's process
/// @param discovery_window from its start; 0: jobs are never held
/// @param deadline until then the caller waits; unset: not told
duration configuration_hold_time(duration since_start,
                                 duration discovery_window,
                                 std::optional<duration> deadline);

} // namespace agatebank
