#pragma once

#include <agatebank/loop/object_ptr.hpp>

#include <gio/gio.h>

namespace agatebank
{

/// @brief Attaches a source that calls back while a socket meets a condition.
/// The callback must not run the loop: the source stays among the polled ones
/// while it runs. GLib takes other sources out and puts them back, and signals
/// its own wake-up descriptor each time.
/// @param callback a GSocketSourceFunc
source_ptr watch_socket(GSocket* socket, GIOCondition condition,
                        GSocketSourceFunc callback, gpointer data);

} // namespace agatebank
