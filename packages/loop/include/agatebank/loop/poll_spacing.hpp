#pragma once

#include <agatebank/core/units.hpp>

namespace agatebank
{

/// @brief Sets the shortest time between two waits of the process's event loop
/// for its sockets. What arrives in between is handled in one iteration.
///
/// Load pattern: an iteration of GLib's loop visits every socket of the
/// process, and an entry has one for each agent, entry and caller. With 300
/// jobs/s, each iteration then handles one message, and most of the processor
/// time goes into visiting idle sockets. Work that is already known, such as
/// deferred calls, is not delayed; an idle process is not either.
/// @param spacing at most 20 ms; 0: none
void set_poll_spacing(duration spacing);

} // namespace agatebank
