#include <agatebank/core/duration_math.hpp>
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

} // namespace

void job_forecast::set_targets(const target_map& targets)
{
    kinds_.clear();
    for (const auto& [agent, t] : targets)
    {
        ++kinds_[to_kind_key(t.profile())];
    }
    renew_mean_speed();
}

void job_forecast::renew_mean_speed()
{
    double sum = 0;
    double count = 0;
    for (const auto& [kind, n] : kinds_)
    {
        sum += n * std::log(times_.speed(kind));
        count += n;
    }
    mean_speed_ = count == 0 ? 1 : std::exp(sum / count);
}

void job_forecast::learn(const route_name& route, const step_plan& step,
                         const target_profile& target, duration run)
{
    times_.observe(to_model(route), to_kind_key(target), to_hint(step), run);
    renew_mean_speed();
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
