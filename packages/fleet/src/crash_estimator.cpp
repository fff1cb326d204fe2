#include <agatebank/fleet/crash_estimator.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// Crashes of this time are counted; several times as long as a target is away.
constexpr duration crash_window = 10s;
/// A rate is taken over no less than this.
constexpr duration min_crash_window = 1s;
/// Time constant of the counts of jobs.
constexpr double decay_seconds = 3;
/// Assumed until a target has returned from a crash.
constexpr duration assumed_time_away = 3s;
/// Weight of the latest return in the mean time away.
constexpr double time_away_weight = 0.3;
/// A task is given up after this many crashes unless its route is on probation.
constexpr double crashes_per_task = 3;
/// Limit on how far refused jobs raise the estimated rate, as few started jobs
/// say little.
constexpr double max_refused_ratio = 20;
/// Under the operators' terms a late answer has a fifth of the value.
constexpr double loss_when_late = 0.8;

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

void crash_estimator::decaying_sum::add(double amount, time_point now)
{
    value = value_at(now) + amount;
    at = now;
}

double crash_estimator::decaying_sum::value_at(time_point now) const
{
    return value * std::exp(-to_seconds(now - at) / decay_seconds);
}

// modifiers

void crash_estimator::on_arrival(const arriving_job& job, time_point now)
{
    auto& r = routes_[job.route];
    r.latest = job;
    r.arrivals.add(1, now);
    r.work.add(job.work, now);
}

void crash_estimator::on_admitted(const route_name& route, time_point now)
{
    routes_[route].admitted.add(1, now);
}

void crash_estimator::on_crashes(const std::vector<crash_report>& added,
                                 time_point now)
{
    for (const auto& it : added)
    {
        away_since_.try_emplace(it.loss.agent, now);
        if (it.isolated || it.started_last)
        {
            auto& causes = routes_[it.route].causes;
            causes.push_back({it.task, now, it.isolated});
            while (now - causes.front().at > crash_window)
            {
                causes.pop_front();
            }
        }
    }
}

void crash_estimator::set_accepting(agent_incarnation agent, bool accepting,
                                    time_point now)
{
    const auto it = away_since_.find(agent);
    if (!accepting || it == away_since_.end())
    {
        return;
    }
    const auto sample = now - it->second;
    away_since_.erase(it);
    time_away_ =
        has_time_away_
            ? time_away_ +
                  duration(static_cast<int64_t>(
                      time_away_weight *
                      static_cast<double>((sample - time_away_).count())))
            : sample;
    has_time_away_ = true;
}

void crash_estimator::remove_target(agent_incarnation agent)
{
    away_since_.erase(agent);
}

// lookup

probation_input crash_estimator::estimate(const route_name& route,
                                          std::size_t entries,
                                          bool isolated_only,
                                          time_point now) const
{
    probation_input out;
    out.time_away = has_time_away_ ? time_away_ : assumed_time_away;
    const auto found = routes_.find(route);
    if (found == routes_.end())
    {
        return out;
    }
    const auto& r = found->second;
    std::map<std::string, std::set<task_position>> tasks_by_job;
    time_point first = now;
    for (const auto& it : r.causes)
    {
        const bool counts = !isolated_only || it.isolated;
        if (now - it.at <= crash_window && counts)
        {
            tasks_by_job[it.task.job].insert(it.task);
            first = std::min(first, it.at);
        }
    }
    std::size_t tasks = 0;
    for (const auto& [job, crashing] : tasks_by_job)
    {
        tasks += crashing.size();
    }
    const auto jobs =
        static_cast<double>(std::max<std::size_t>(1, tasks_by_job.size()));
    out.crashes_per_job =
        crashes_per_task * std::max(1.0, static_cast<double>(tasks) / jobs);
    const double arrivals = r.arrivals.value_at(now);
    const double admitted = r.admitted.value_at(now);
    const double refused_ratio =
        std::clamp(arrivals / std::max(admitted, 1.0), 1.0, max_refused_ratio);
    out.crashing_jobs_per_s =
        refused_ratio * static_cast<double>(tasks_by_job.size()) /
        to_seconds(std::max(min_crash_window, now - first));
    out.jobs_per_s =
        std::max(out.crashing_jobs_per_s,
                 static_cast<double>(entries) * arrivals / decay_seconds);
    out.first_task_time = r.latest.first_task_time;
    double total = 0;
    for (const auto& [name, other] : routes_)
    {
        total += other.latest.service == r.latest.service
                     ? other.work.value_at(now)
                     : 0;
    }
    out.work_share = total > 0 ? r.work.value_at(now) / total : 1;
    out.loss_when_served = r.latest.late_on_probation ? loss_when_late : 0;
    return out;
}

} // namespace agatebank
