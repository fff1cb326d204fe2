#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/loop/deferred_calls.hpp>
#include <agatebank/loop/object_ptr.hpp>
#include <agatebank/loop/socket_poller.hpp>
#include <agatebank/loop/timer_schedule.hpp>
#include <agatebank/loop/watch.hpp>

#include <functional>
#include <memory>

namespace agatebank
{

/// @brief The event loop of the process, of which there is only one. It runs
/// GLib's default main context on a single thread. Its periodic timers, other
/// timers, deferred calls and sockets have one GLib source each, because GLib
/// visits all sources in each iteration. An iteration calls periodic timers,
/// sockets, other timers and deferred calls, in this order.
class event_loop
{
  public:
    using callback = std::function<void()>;

    // construction
    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // running
    /// @brief Runs until @ref quit is called.
    void run();
    void quit();

    // time
    /// @brief Current time of a monotonic clock that includes the time during
    /// which the VM is suspended.
    time_point now() const;
    /// @brief When the current iteration of @ref run began. What sockets had
    /// received by then has been handled at the end of the iteration, so that
    /// deferred calls act on all of it. Outside of run, the current time.
    time_point iteration_began() const;

    // callbacks
    /// @brief Calls @p fn once after @p delay, with a resolution of 1 ms. What
    /// sockets have received by then is read before, so that a process that was
    /// paused doesn't time out calls that have been answered.
    [[nodiscard]] watch after(duration delay, callback fn);
    /// @brief Calls @p fn every @p period until the watch is destroyed.
    [[nodiscard]] watch every(duration period, callback fn);
    /// @brief Calls @p fn for each delivery of a Unix signal.
    [[nodiscard]] watch on_signal(int signal_number, callback fn);
    /// @brief Calls @p fn once, at the end of the current iteration of the loop
    /// or in the next one, after those that were deferred before it.
    void defer(callback fn);

    // sockets
    /// @brief The sockets that the loop waits for with one epoll set.
    socket_poller& sockets() noexcept;
    /// @return the failure of a step without which the loop cannot wait for
    /// sockets; checked when the process starts
    const result<void>& status() const noexcept;

  private:
    int timeout_ms(const timer_schedule& timers) const;

    /// Destroyed last, because what pending callbacks own may remove sockets.
    socket_poller sockets_;
    std::shared_ptr<timer_schedule> periodic_;
    std::shared_ptr<timer_schedule> one_shots_;
    source_ptr periodic_source_;
    source_ptr one_shot_source_;
    deferred_calls deferred_;
    bool running_ = false;
    time_point iteration_began_;
    /// Depth of GLib's callbacks that @ref run dispatches itself; 0: none.
    int run_depth_ = 0;
};

} // namespace agatebank
