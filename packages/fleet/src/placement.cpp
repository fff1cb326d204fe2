#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/placement.hpp>
#include <agatebank/fleet/target_rank.hpp>

#include <algorithm>
#include <cmath>

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

/// Time until a run that hangs is stopped and its task has run elsewhere: a
/// multiple of its run time and a fixed time, see is_stalled.
constexpr double hang_cost_factor = 2.5;
constexpr duration hang_cost = std::chrono::milliseconds(145);

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

/// Standard deviation of the logarithm of a job's work around the expected one;
/// low_work_ratio and high_work_ratio are quantiles of the same distribution.
constexpr double work_log_deviation = 0.3;
/// Standard deviation of a wait relative to the expected one. A wait is the sum
/// of a few run times with a logarithmic deviation of 0.4 each, seen in reports
/// that are 25 to 100 ms old.
constexpr double wait_deviation = 0.5;

bool is_near_data(const target_load_tracker& t, const step_plan& step)
{
    return step.data_rack.empty() || t.has_label(step.data_rack);
}

// Returns whether the locality rule decides on the task.
bool rack_matters(const placement_request& request)
{
    return request.locality != nullptr && request.remote_data_factor > 1 &&
           !request.step->data_rack.empty();
}

// Ranks a target that may run the task.
ranked_target rank_target(agent_incarnation agent, const target_load_tracker& t,
                          const placement_request& request, double speed)
{
    const auto work = scale(request.expected.typical,
                            slowest_task_ratio(request.step->tasks));
    const double usual_speed =
        speed /
        (is_near_data(t, *request.step) ? 1.0 : request.remote_data_factor);
    const double current_speed = usual_speed / std::max(1.0, t.load().slowdown);
    const auto run = scale(request.expected.typical, 1 / usual_speed);
    // Orders that wait near their data are reported in the last band.
    const bool counts_all_bands =
        request.behind_other_work ||
        (rack_matters(request) && is_near_data(t, *request.step));
    const auto band = counts_all_bands ? priority_bands - 1 : request.band;
    const auto wait = t.expected_wait(request.step->task_resources, band);
    const auto slowest_run = scale(work, 1 / current_speed);
    const auto finish = wait + slowest_run;
    // Only the choice accounts for runs that may hang; a job is not refused for
    // them.
    const double hang_share = t.load().hang_share;
    const auto hang_time =
        scale(scale(run, hang_cost_factor) + hang_cost, hang_share);
    const auto is_on_time = [&](double work_ratio, double run_ratio = 1)
    {
        return wait + hang_time +
                   scale(work, run_ratio * work_ratio / current_speed) +
                   dispatch_overhead <=
               request.time_to_objective +
                   scale(work, request.stretch * (work_ratio - 1));
    };
    const bool on_time =
        is_on_time(low_work_ratio) && is_on_time(high_work_ratio);
    const double utilisation =
        t.utilisation_with(request.step->task_resources) + hang_share;
    const bool crowded = utilisation > crowded_utilisation;
    const bool unsafe = !crowded && !is_on_time(1, safe_run_ratio);
    const target_rank rank =
        on_time ? target_rank{false,
                              crowded,
                              t.load().cold,
                              unsafe,
                              speed_class(current_speed),
                              utilisation}
                : target_rank{true,
                              false,
                              false,
                              false,
                              static_cast<double>((finish + hang_time).count()),
                              utilisation};
    // More work than expected delays the end, but also the objective.
    const auto work_spread =
        work_log_deviation *
        static_cast<double>(
            (slowest_run - scale(work, request.stretch)).count());
    const auto run_spread =
        task_log_deviation * static_cast<double>(slowest_run.count());
    const auto wait_spread = wait_deviation * static_cast<double>(wait.count());
    const duration spread(
        static_cast<int64_t>(std::hypot(work_spread, run_spread, wait_spread)));
    return {rank,
            {agent, run, finish, on_time, t.load().suspect, {}},
            {wait, finish + dispatch_overhead,
             scale(request.expected.typical, 1 / current_speed), spread},
            rack_matters(request) && !is_near_data(t, *request.step)};
}

// Returns the processor need of all tasks over the capacity, of the targets of
// a service that accept work.
double utilisation_of(const target_map& targets, const service_name& service)
{
    int64_t demand = 0;
    int64_t capacity = 0;
    for (const auto& [agent, t] : targets)
    {
        if (t.load().accepts_work && t.profile().service == service)
        {
            demand += t.cpu_demand_millis();
            capacity += t.profile().capacity.cpu_millis;
        }
    }
    return static_cast<double>(demand) /
           static_cast<double>(std::max<int64_t>(1, capacity));
}

// Decides between the best target in the rack of the data and the best outside.
std::optional<placement_choice>
choose_by_locality(const target_map& targets, const placement_request& request,
                   const std::optional<ranked_target>& near,
                   const std::optional<ranked_target>& elsewhere)
{
    if (!near && !elsewhere)
    {
        return std::nullopt;
    }
    locality_choice decided;
    auto& input = decided.input;
    if (near)
    {
        input.near = near->forecast;
    }
    if (elsewhere)
    {
        input.elsewhere = elsewhere->forecast;
    }
    input.objective = request.time_to_objective;
    input.last_useful = request.time_to_last_useful;
    input.utilisation = utilisation_of(targets, request.service);
    input.may_wait = request.may_wait_near_data;
    decided.decision = (*request.locality)(input);
    const bool leaves =
        decided.decision.action == locality_action::run_elsewhere;
    auto choice = (near && !(leaves && elsewhere) ? near : elsewhere)->choice;
    choice.locality = decided;
    return choice;
}

} // namespace

double slowest_task_ratio(uint32_t n)
{
    const double deviations =
        std::sqrt(2 * std::log(std::max(1.0, double(n)))) -
        expected_maximum_offset;
    return std::exp(task_log_deviation * std::max(0.0, deviations));
}

void visit_ranked_targets(
    const target_map& targets, const placement_request& request,
    const speed_lookup& speed, time_point now,
    const std::function<void(const ranked_target&)>& visit)
{
    for (const auto& [agent, t] : targets)
    {
        if (is_allowed(t, request, agent) &&
            (!t.load().suspect || t.may_probe(now)))
        {
            visit(rank_target(agent, t, request, speed(agent)));
        }
    }
}

std::optional<placement_choice> choose_target(const target_map& targets,
                                              const placement_request& request,
                                              const speed_lookup& speed,
                                              time_point now)
{
    std::optional<ranked_target> near;
    std::optional<ranked_target> elsewhere;
    visit_ranked_targets(targets, request, speed, now,
                         [&near, &elsewhere](const ranked_target& t)
                         {
                             auto& best = t.outside_rack ? elsewhere : near;
                             if (!best || t.rank < best->rank)
                             {
                                 best = t;
                             }
                         });
    if (rack_matters(request))
    {
        return choose_by_locality(targets, request, near, elsewhere);
    }
    return near ? std::optional(near->choice) : std::nullopt;
}

} // namespace agatebank
