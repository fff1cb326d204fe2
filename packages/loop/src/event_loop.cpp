#include <agatebank/loop/event_loop.hpp>
#include <agatebank/loop/hook_source.hpp>

#include <glib-unix.h>
#include <glib.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include <time.h>

namespace agatebank
{

namespace
{

// Calls a copy, because the callback may destroy its own watch.
gboolean invoke(gpointer data)
{
    const auto fn = *static_cast<event_loop::callback*>(data);
    fn();
    return G_SOURCE_CONTINUE;
}

void free_call(gpointer data)
{
    delete static_cast<event_loop::callback*>(data);
}

// A wait shorter than a millisecond would be rounded up by GLib's poll.
duration to_whole_milliseconds(duration d)
{
    return std::max<duration>(std::chrono::ceil<std::chrono::milliseconds>(d),
                              duration::zero());
}

} // namespace

event_loop::event_loop()
    : periodic_(std::make_shared<timer_schedule>())
    , one_shots_(std::make_shared<timer_schedule>())
    , periodic_source_(
          attach_hook_source({[this] { return timeout_ms(*periodic_); },
                              [this]
                              {
                                  periodic_->run_due(now());
                              }}))
    , one_shot_source_(
          attach_hook_source({[this] { return timeout_ms(*one_shots_); },
                              [this]
                              {
                                  // run() calls them after the other sources.
                                  if (g_main_depth() != run_depth_)
                                  {
                                      one_shots_->run_due(now());
                                  }
                              }}))
{
}

void event_loop::run()
{
    running_ = true;
    const int outer_depth = std::exchange(run_depth_, g_main_depth() + 1);
    while (running_)
    {
        iteration_began_ = now();
        g_main_context_iteration(nullptr, TRUE);
        one_shots_->run_due(now());
        // Saves the iteration that the source of deferred calls would take.
        deferred_.run();
    }
    run_depth_ = outer_depth;
}

void event_loop::quit()
{
    running_ = false;
}

time_point event_loop::now() const
{
    // Unlike CLOCK_MONOTONIC, includes the time during which the VM is
    // suspended.
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec)));
}

time_point event_loop::iteration_began() const
{
    return run_depth_ == 0 ? now() : iteration_began_;
}

watch event_loop::after(duration delay, callback fn)
{
    const auto at = now() + to_whole_milliseconds(delay);
    return {one_shots_, one_shots_->add(at, duration::zero(), std::move(fn))};
}

watch event_loop::every(duration period, callback fn)
{
    const auto whole = std::max<duration>(to_whole_milliseconds(period),
                                          std::chrono::milliseconds(1));
    return {periodic_, periodic_->add(now() + whole, whole, std::move(fn))};
}

watch event_loop::on_signal(int signal_number, callback fn)
{
    source_ptr source(g_unix_signal_source_new(signal_number));
    g_source_set_callback(source.get(), invoke, new callback(std::move(fn)),
                          free_call);
    g_source_attach(source.get(), nullptr);
    return watch(std::move(source));
}

void event_loop::defer(callback fn)
{
    deferred_.push(std::move(fn));
}

socket_poller& event_loop::sockets() noexcept
{
    return sockets_;
}

const result<void>& event_loop::status() const noexcept
{
    return sockets_.status();
}

int event_loop::timeout_ms(const timer_schedule& timers) const
{
    const auto next = timers.next();
    if (!next)
    {
        return -1;
    }
    const auto ms =
        std::chrono::ceil<std::chrono::milliseconds>(*next - now()).count();
    return static_cast<int>(
        std::clamp<int64_t>(ms, 0, std::numeric_limits<int>::max()));
}

} // namespace agatebank
