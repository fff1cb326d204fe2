#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/loop/object_ptr.hpp>

#include <glib.h>

#include <functional>
#include <map>
#include <memory>

namespace agatebank
{

/// @brief A running timer or signal watch; destroying it stops it.
using watch = source_ptr;

/// @brief The process's only event loop: GLib's default main context, run on
/// one thread.
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
    /// @brief Time of a clock that never goes back and goes on while the
    /// machine is suspended.
    time_point now() const;

    // callbacks
    /// @brief Calls @p fn once after @p delay.
    [[nodiscard]] watch after(duration delay, callback fn);
    /// @brief Calls @p fn every @p period until the watch is destroyed.
    [[nodiscard]] watch every(duration period, callback fn);
    /// @brief Calls @p fn for each delivery of a Unix signal.
    [[nodiscard]] watch on_signal(int signal_number, callback fn);
    /// @brief Calls @p fn once, after the events at hand.
    void defer(callback fn);

  private:
    GMainLoop* loop_;
};

} // namespace agatebank
