#pragma once

namespace agatebank
{

/// Connections that may wait to be accepted, while the process is paused or out
/// of its processor share. The kernel lowers it to its own limit
/// (net.core.somaxconn); GLib's default is 10.
constexpr int accept_queue_length = 4096;

} // namespace agatebank
