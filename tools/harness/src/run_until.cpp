#include <agatebank/harness/run_until.hpp>

namespace agatebank
{

namespace
{

constexpr auto check_period = std::chrono::milliseconds(5);

} // namespace

bool run_until(event_loop& loop, duration timeout,
               const std::function<bool()>& condition)
{
    const auto end = loop.now() + timeout;
    const auto tick = loop.every(check_period, [] {});
    while (!condition())
    {
        if (loop.now() >= end)
        {
            return false;
        }
        g_main_context_iteration(nullptr, TRUE);
    }
    return true;
}

void run_for(event_loop& loop, duration time)
{
    run_until(loop, time, [] { return false; });
}

} // namespace agatebank
