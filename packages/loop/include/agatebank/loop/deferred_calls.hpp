#pragma once

#include <agatebank/loop/object_ptr.hpp>

#include <deque>
#include <functional>

namespace agatebank
{

/// @brief Queue of callbacks that run after the current one has returned, in
/// the order in which they were added. One GLib source serves all of them.
class deferred_calls
{
  public:
    using callback = std::function<void()>;

    // construction
    deferred_calls();

    // modifiers
    void push(callback fn);
    /// @brief Runs the callbacks that are queued, and those that they add: the
    /// results that an agent collects in a callback are written to its links by
    /// another one. What these add waits for the next iteration of the loop, so
    /// that a callback that always adds itself doesn't keep sockets from being
    /// read.
    void run();

  private:
    std::deque<callback> calls_;
    source_ptr source_;
};

} // namespace agatebank
