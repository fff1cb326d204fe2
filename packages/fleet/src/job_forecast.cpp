#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_forecast.hpp>
#include <agatebank/fleet/placement.hpp>
#include <agatebank/fleet/target_speed_estimator.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace agatebank
{

namespace
{

/// Number of runs of a route from which its reference times are told to
/// agents. Fewer would mix the error of this entry's first runs into speeds
/// that other entries use.
constexpr double min_route_runs = 64;

std::optional<duration> to_declared_time(const step_plan& step)
{
    if (step.declared_run_time.count() == 0)
    {
        return std::nullopt;
    }
    return step.declared_run_time;
}

service_name to_model_name(const route_name& route)
{
    return service_name(route.value());
}

} // namespace

void job_forecast::put_target(agent_incarnation agent,
                              const target_profile& profile)
{
    const auto it = targets_.find(agent);
    if (it != targets_.end() && it->second == profile)
    {
        return;
    }
    targets_.erase(agent);
    times_.set_initial_speed(agent, initial_speed(profile.kind));
    targets_.emplace(agent, profile);
    update_mean_speed();
}

void job_forecast::remove_target(agent_incarnation agent)
{
    targets_.erase(agent);
    times_.remove(agent);
    update_mean_speed();
}

void job_forecast::set_learned_speed(agent_incarnation agent, double speed)
{
    if (targets_.count(agent) == 0)
    {
        return;
    }
    const double before = times_.speed(agent);
    times_.set_learned_speed(agent, speed, min_learned_runs);
    scale_mean_speed(speed / before);
}

double job_forecast::initial_speed(const std::string& kind) const
{
    double sum = 0;
    double count = 0;
    for (const auto& [agent, profile] : targets_)
    {
        if (profile.kind == kind && has_learned_speed(agent))
        {
            sum += std::log(times_.speed(agent));
            ++count;
        }
    }
    return count == 0 ? mean_speed_ : std::exp(sum / count);
}

void job_forecast::update_mean_speed()
{
    double sum = 0;
    for (const auto& [agent, profile] : targets_)
    {
        sum += std::log(times_.speed(agent));
    }
    const auto n = static_cast<double>(targets_.size());
    mean_speed_ = n == 0 ? 1 : std::exp(sum / n);
}

void job_forecast::learn(const route_name& route, const step_plan& step,
                         agent_incarnation target, duration run)
{
    const double before = times_.speed(target);
    times_.observe(to_model_name(route), target, to_declared_time(step), run);
    if (targets_.count(target) != 0)
    {
        scale_mean_speed(times_.speed(target) / before);
    }
}

// If one of n speeds changes by a factor, their geometric mean changes by the
// n-th root of that factor.
void job_forecast::scale_mean_speed(double factor)
{
    if (factor != 1)
    {
        mean_speed_ *=
            std::pow(factor, 1 / static_cast<double>(targets_.size()));
    }
}

std::optional<duration> job_forecast::reference_time(const route_name& route,
                                                     agent_incarnation target,
                                                     duration expected) const
{
    if (times_.samples(to_model_name(route)) < min_route_runs)
    {
        return std::nullopt;
    }
    return scale(expected, times_.speed(target));
}

run_time_prediction job_forecast::task_run_time(const route_name& route,
                                                const step_plan& step) const
{
    const auto prediction =
        times_.predict(to_model_name(route), to_declared_time(step));
    return {scale(prediction.mean, 1 / mean_speed_),
            scale(prediction.high, 1 / mean_speed_),
            scale(prediction.typical, 1 / mean_speed_)};
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
        ends.push_back(begin + scale(task_run_time(route, step).typical,
                                     slowest_task_ratio(step.tasks)));
    }
    return ends.empty() ? duration(0)
                        : *std::max_element(ends.begin(), ends.end());
}

double job_forecast::speed(agent_incarnation target) const
{
    return times_.speed(target) / mean_speed_;
}

bool job_forecast::has_learned_speed(agent_incarnation target) const
{
    return times_.samples(target) >= min_learned_runs;
}

} // namespace agatebank
