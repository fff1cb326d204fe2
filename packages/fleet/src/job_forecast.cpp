#include <agatebank/fleet/job_forecast.hpp>
#include <agatebank/fleet/placement.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace agatebank
{

namespace
{

std::optional<duration> to_hint(const step_plan& step)
{
    if (step.declared_run_time.count() == 0)
    {
        return std::nullopt;
    }
    return step.declared_run_time;
}

service_name to_model(const route_name& route)
{
    return service_name(route.value());
}

duration scale(duration d, double factor)
{
    return duration(
        static_cast<int64_t>(static_cast<double>(d.count()) * factor));
}

} // namespace

void job_forecast::set_targets(const target_map& targets)
{
    double sum = 0;
    for (const auto& [agent, t] : targets)
    {
        sum += std::log(times_.speed(to_kind_key(t.profile())));
    }
    mean_speed_ = targets.empty()
                      ? 1
                      : std::exp(sum / static_cast<double>(targets.size()));
}

void job_forecast::learn(const route_name& route, const step_plan& step,
                         const target_profile& target, duration run)
{
    times_.observe(to_model(route), to_kind_key(target), to_hint(step), run);
}

run_time_prediction job_forecast::one_task(const route_name& route,
                                           const step_plan& step) const
{
    const auto p = times_.predict(to_model(route), to_hint(step));
    return {scale(p.mean, 1 / mean_speed_), scale(p.high, 1 / mean_speed_)};
}

duration job_forecast::longest_chain(const route_name& route,
                                     const job_plan& plan) const
{
    std::vector<duration> ends;
    for (const auto& step : plan.steps)
    {
        duration begin{};
        for (const auto it : step.after)
        {
            begin = std::max(begin, ends[it]);
        }
        ends.push_back(
            begin + scale(one_task(route, step).mean, slowest_of(step.tasks)));
    }
    return ends.empty() ? duration(0)
                        : *std::max_element(ends.begin(), ends.end());
}

double job_forecast::speed(const target_profile& target) const
{
    return times_.speed(to_kind_key(target)) / mean_speed_;
}

} // namespace agatebank
