#include <agatebank/fleet/release_forecast.hpp>

#include <algorithm>
#include <functional>

namespace agatebank
{

release_forecast::release_forecast(int64_t capacity_millis)
    : free_millis_(capacity_millis)
{
}

void release_forecast::add_run(duration left, int64_t cpu_millis)
{
    free_millis_ -= cpu_millis;
    ends_.emplace_back(std::max(duration(0), left), cpu_millis);
    std::push_heap(ends_.begin(), ends_.end(), std::greater<>());
}

void release_forecast::add_queued(duration expected_run, int64_t cpu_millis)
{
    if (const auto start = time_to_start(cpu_millis))
    {
        add_run(*start + expected_run, cpu_millis);
    }
}

std::optional<duration> release_forecast::time_to_start(int64_t cpu_millis)
{
    while (free_millis_ < cpu_millis && !ends_.empty())
    {
        std::pop_heap(ends_.begin(), ends_.end(), std::greater<>());
        last_start_ = std::max(last_start_, ends_.back().first);
        free_millis_ += ends_.back().second;
        ends_.pop_back();
    }
    return free_millis_ < cpu_millis ? std::nullopt
                                     : std::optional(last_start_);
}

} // namespace agatebank
