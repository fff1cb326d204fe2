#include <agatebank/loop/event_loop.hpp>

#include <glib-unix.h>
#include <glib.h>

#include <chrono>
#include <utility>

#include <time.h>

namespace agatebank
{

namespace
{

struct call
{
    event_loop::callback fn;
    bool repeat;
};

// Calls a copy, because the callback may destroy its own watch.
gboolean invoke(gpointer data)
{
    auto* c = static_cast<call*>(data);
    const bool repeat = c->repeat;
    const auto fn = c->fn;
    fn();
    return repeat ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

void free_call(gpointer data)
{
    delete static_cast<call*>(data);
}

watch attach(GSource* source, event_loop::callback fn, bool repeat)
{
    g_source_set_callback(source, invoke, new call{std::move(fn), repeat},
                          free_call);
    g_source_attach(source, nullptr);
    return watch(source);
}

guint to_milliseconds(duration d)
{
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(d).count();
    return ms <= 0 ? 0U : static_cast<guint>(ms);
}

} // namespace

event_loop::event_loop() : loop_(g_main_loop_new(nullptr, FALSE)) {}

event_loop::~event_loop()
{
    g_main_loop_unref(loop_);
}

void event_loop::run()
{
    g_main_loop_run(loop_);
}

void event_loop::quit()
{
    g_main_loop_quit(loop_);
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

watch event_loop::after(duration delay, callback fn)
{
    return attach(g_timeout_source_new(to_milliseconds(delay)), std::move(fn),
                  false);
}

watch event_loop::every(duration period, callback fn)
{
    return attach(g_timeout_source_new(to_milliseconds(period)), std::move(fn),
                  true);
}

watch event_loop::on_signal(int signal_number, callback fn)
{
    return attach(g_unix_signal_source_new(signal_number), std::move(fn), true);
}

void event_loop::defer(callback fn)
{
    auto* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(source, invoke, new call{std::move(fn), false},
                          free_call);
    g_source_attach(source, nullptr);
    g_source_unref(source);
}

} // namespace agatebank
