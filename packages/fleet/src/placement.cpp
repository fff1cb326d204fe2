#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/placement.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace agatebank
{

namespace
{

/// Standard deviation of the logarithm of the run times within one step.
constexpr double task_log_deviation = 0.15;
/// Ratios of actual to expected work of a job that four of five jobs reach, and
/// that four of five do not exceed: the 20 % and 80 % quantiles at a standard
/// deviation of the logarithm of 0.3.
constexpr double low_work_ratio = 0.78;
constexpr double high_work_ratio = 1.29;
/// Correction to the asymptotic expected maximum sqrt(2 ln n) for small n.
constexpr double expected_maximum_offset = 0.6;
/// Utilisation above which the next job is likely to wait at a target, because
/// other entries also send it work between two load reports.
constexpr double crowded_utilisation = 0.65;
/// Time that a job spends outside the targets: from the caller's request to the
/// start of the run, and from the end of the run to the answer.
constexpr duration dispatch_overhead = std::chrono::milliseconds(25);

bool is_allowed(const target_load_tracker& t, const placement_request& request,
                agent_incarnation agent)
{
    const auto& step = *request.step;
    if (!t.load().accepts_work || t.profile().service != request.service ||
        !t.profile().capacity.can_fit(step.task_resources))
    {
        return false;
    }
    if (!step.required_label.empty() && !t.has_label(step.required_label))
    {
        return false;
    }
    const auto contains = [agent](const std::set<agent_incarnation>* set)
    {
        return set != nullptr && set->count(agent) != 0;
    };
    if (contains(request.excluded) || contains(request.reserved) ||
        (request.allowed != nullptr && !contains(request.allowed)))
    {
        return false;
    }
    if (step.max_per_target == 0 || request.placed == nullptr)
    {
        return true;
    }
    const auto it = request.placed->find(agent);
    return it == request.placed->end() || it->second < step.max_per_target;
}

/// Ratio between neighbouring classes of speed. Learned speeds are off by up to
/// 10 %, so smaller differences must not decide the choice.
constexpr double speed_class_ratio = 1.35;

// Returns the number of the class that a speed belongs to.
double speed_class(double speed)
{
    return std::round(std::log(speed) / std::log(speed_class_ratio));
}

/// Ratio of actual to expected run time up to which a target has to be in time
/// to count as safe: 10 % for its learned speed, and as much for the mean speed
/// that the expected objective rests on.
constexpr double safe_run_ratio = 1.25;

// Sorts by lateness, crowding, lack of safety if not crowded, then speed class
// and utilisation for targets in time, or expected end in us and utilisation
// for late ones. Lower is better.
using choice_rank = std::tuple<int, int, bool, double, double>;

// Returns the place of a target among those in time. A cold target would be
// preferred as a slow one, so it follows the warm ones that are as crowded.
int crowding(bool crowded, bool cold)
{
    return (crowded ? 2 : 0) + (cold ? 1 : 0);
}

} // namespace

double slowest_task_ratio(uint32_t n)
{
    const double deviations =
        std::sqrt(2 * std::log(std::max(1.0, double(n)))) -
        expected_maximum_offset;
    return std::exp(task_log_deviation * std::max(0.0, deviations));
}

std::optional<placement_choice> choose_target(const target_map& targets,
                                              const placement_request& request,
                                              const speed_lookup& speed,
                                              time_point now)
{
    std::optional<placement_choice> best;
    choice_rank best_rank;
    const auto work = scale(request.expected.typical,
                            slowest_task_ratio(request.step->tasks));
    for (const auto& [agent, t] : targets)
    {
        if (!is_allowed(t, request, agent))
        {
            continue;
        }
        const bool suspect = t.load().suspect;
        if (suspect && !t.may_probe(now))
        {
            continue;
        }
        const auto& rack = request.step->data_rack;
        const double data_factor = rack.empty() || t.has_label(rack)
                                       ? 1.0
                                       : request.remote_data_factor;
        const double usual_speed = speed(agent) / data_factor;
        const double current_speed =
            usual_speed / std::max(1.0, t.load().slowdown);
        const auto run = scale(request.expected.typical, 1 / usual_speed);
        const auto wait =
            t.expected_wait(request.step->task_resources, request.band);
        const auto finish = wait + scale(work, 1 / current_speed);
        const auto is_on_time = [&](double work_ratio, double run_ratio = 1)
        {
            return wait + scale(work, run_ratio * work_ratio / current_speed) +
                       dispatch_overhead <=
                   request.time_to_objective +
                       scale(work, request.stretch * (work_ratio - 1));
        };
        const bool on_time =
            is_on_time(low_work_ratio) && is_on_time(high_work_ratio);
        const double utilisation =
            t.utilisation_with(request.step->task_resources);
        const bool crowded = utilisation > crowded_utilisation;
        const bool unsafe = !crowded && !is_on_time(1, safe_run_ratio);
        const choice_rank rank =
            on_time
                ? choice_rank{0, crowding(crowded, t.load().cold), unsafe,
                              speed_class(current_speed), utilisation}
                : choice_rank{1, 0, false, static_cast<double>(finish.count()),
                              utilisation};
        if (!best || rank < best_rank)
        {
            best = placement_choice{agent, run, finish, on_time, suspect};
            best_rank = rank;
        }
    }
    return best;
}

} // namespace agatebank
