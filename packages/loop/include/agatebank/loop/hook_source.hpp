#pragma once

#include <agatebank/loop/object_ptr.hpp>

#include <functional>

namespace agatebank
{

/// @brief Functions of a GLib source. The source stays attached until its owner
/// destroys it, so that using it again costs no allocation.
struct source_hooks
{
    /// Milliseconds until the source is to be dispatched; 0: now, -1: not
    /// before its descriptor is readable. Called twice in each iteration.
    std::function<int()> timeout_ms;
    std::function<void()> dispatch;
};

/// @brief Attaches a source to the default main context. A nested loop, run by
/// the dispatch function, dispatches the source again.
/// @param fd descriptor to wait for, or -1
source_ptr attach_hook_source(source_hooks hooks, int fd = -1);

} // namespace agatebank
