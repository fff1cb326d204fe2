#include <agatebank/fleet/own_delay_estimator.hpp>

#include <algorithm>
#include <chrono>
#include <vector>

namespace agatebank
{

namespace
{

/// Age up to which a measurement shows the present delay; jobs are compared
/// with their forecast over the same time.
constexpr duration window = std::chrono::seconds(1);
/// Limit on the measurements that are kept, to bound memory and time.
constexpr std::size_t max_samples = 256;
/// With fewer runs a single one would decide.
constexpr std::size_t min_runs = 8;
/// Longest delay of an order at an entry that is not slow. Placement allows for
/// the same time outside the targets.
constexpr duration usual_dispatch_time = std::chrono::milliseconds(25);

} // namespace

void own_delay_estimator::on_run_end(duration delay, time_point now)
{
    add(order_delays_, delay, now);
}

void own_delay_estimator::on_loop_lag(duration lag, time_point now)
{
    add(loop_lags_, lag, now);
}

duration own_delay_estimator::order_delay(time_point now) const
{
    const auto delay = median(order_delays_, min_runs, now);
    return delay > usual_dispatch_time ? delay : duration(0);
}

duration own_delay_estimator::loop_lag(time_point now) const
{
    return median(loop_lags_, 1, now);
}

void own_delay_estimator::add(samples& to, duration value, time_point now)
{
    to.push_back({now, std::max(value, duration(0))});
    while (to.size() > max_samples || now - to.front().at > window)
    {
        to.pop_front();
    }
}

duration own_delay_estimator::median(const samples& of, std::size_t least,
                                     time_point now)
{
    std::vector<duration> values;
    values.reserve(of.size());
    for (const auto& it : of)
    {
        if (now - it.at <= window)
        {
            values.push_back(it.value);
        }
    }
    if (values.size() < least)
    {
        return duration(0);
    }
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace agatebank
