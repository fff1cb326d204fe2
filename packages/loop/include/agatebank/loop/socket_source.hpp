#pragma once

#include <agatebank/loop/object_ptr.hpp>

#include <gio/gio.h>

namespace agatebank
{

/// @brief Attaches a source that calls @p callback in each iteration of the
/// loop in which the socket meets the condition. The callback must not run the
/// loop: the source may recurse, so GLib keeps polling it during its callback.
/// GLib removes a source that may not recurse from polling for the time of its
/// callback and then adds it again, and writes to its wake-up descriptor each
/// time.
/// @param callback a GSocketSourceFunc
source_ptr watch_socket(GSocket* socket, GIOCondition condition,
                        GSocketSourceFunc callback, gpointer data);

} // namespace agatebank
