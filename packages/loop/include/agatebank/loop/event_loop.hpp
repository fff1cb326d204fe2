#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/loop/object_ptr.hpp>

#include <glib.h>

#include <functional>
#include <map>
#include <memory>

namespace agatebank
{

/// @brief Owns an active timer or signal handler; destroying it removes it.
using watch = source_ptr;

/// @brief The event loop of the process, of which there is only one. It runs
/// GLib's default main context on a single thread.
class event_loop
{
  public:
    using callback = std::function<void()>;

    // construction
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    // running
    /// @brief Runs until @ref quit is called.
    void run();
    void quit();

    // time
    /// @brief Current time of a monotonic clock that includes the time during
    /// which the VM is suspended.
    time_point now() const;

    // callbacks
    /// @brief Calls @p fn once after @p delay.
    [[nodiscard]] watch after(duration delay, callback fn);
    /// @brief Calls @p fn every @p period until the watch is destroyed.
    [[nodiscard]] watch every(duration period, callback fn);
    /// @brief Calls @p fn for each delivery of a Unix signal.
    [[nodiscard]] watch on_signal(int signal_number, callback fn);
    /// @brief Calls @p fn once, in the next iteration of the loop.
    void defer(callback fn);

  private:
    GMainLoop* loop_;
};

} // namespace agatebank
