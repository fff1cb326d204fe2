#include <agatebank/loop/poll_spacing.hpp>

#include <glib.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace agatebank
{

namespace
{

using steady = std::chrono::steady_clock;

// GLib passes no context to its poll function, and a process has one loop.
duration poll_spacing{};
steady::time_point last_poll;

gint poll_spaced(GPollFD* fds, guint count, gint timeout_ms)
{
    if (timeout_ms != 0)
    {
        auto wait = last_poll + poll_spacing - steady::now();
        if (timeout_ms > 0)
        {
            wait = std::min<steady::duration>(
                wait, std::chrono::milliseconds(timeout_ms));
        }
        if (wait.count() > 0)
        {
            std::this_thread::sleep_for(wait);
            if (timeout_ms > 0)
            {
                const auto slept =
                    std::chrono::duration_cast<std::chrono::milliseconds>(wait);
                timeout_ms -= static_cast<gint>(slept.count());
            }
        }
    }
    const auto ready = g_poll(fds, count, timeout_ms);
    last_poll = steady::now();
    return ready;
}

} // namespace

void set_poll_spacing(duration spacing)
{
    poll_spacing = spacing;
    g_main_context_set_poll_func(nullptr,
                                 spacing.count() > 0 ? poll_spaced : nullptr);
}

} // namespace agatebank
