#include "dispatcher_state.hpp"

#include <algorithm>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr int equal_speed_steps = 2; // speeds within it count as equal
constexpr std::size_t max_probe_tasks = 4;
constexpr duration max_probe_wait = 3s; // after it, any job may be the probe
constexpr unsigned kept_credits = 1;    // of the fastest targets
// With fewer credits at the fastest targets, none is kept free.
constexpr unsigned min_credits_to_keep = 4;

} // namespace

bool dispatcher::state::may_start(const target_record& t, const job_record& job,
                                  time_point now)
{
    const auto agent = t.offer.agent;
    if (!t.serves(job.request.service) ||
        !t.has_free_credit(job.request.service) ||
        !pacer.may_start(agent, now) || !keeps_probation(t, job, now))
    {
        return false;
    }
    if (!options.ejection || health.state(agent, now) == health_state::healthy)
    {
        return true;
    }
    return health.may_start(agent, now) && may_probe(job, agent, now);
}

// A start at an unhealthy target may fail the whole job, so only small jobs
// with the longest offered wait probe it. Any job may probe once no such job
// has arrived for max_probe_wait.
bool dispatcher::state::may_probe(const job_record& job,
                                  agent_incarnation agent, time_point now) const
{
    if (now - health.awaiting_start_since(agent) > max_probe_wait)
    {
        return true;
    }
    const auto& offered = services.at(job.request.service).offered;
    return !job.request.never_delay && job.expected.size() <= max_probe_tasks &&
           !offered.has_longer(job.request.wait, now);
}

target_record* dispatcher::state::fastest(const job_record& job, time_point now)
{
    const auto& ready = targets.ready();
    for (auto it = ready.rbegin(); it != ready.rend(); ++it)
    {
        auto* t = targets.find(it->second);
        if (may_start(*t, job, now))
        {
            return t;
        }
    }
    return nullptr;
}

// Returns sums over the targets whose speed is close to the fastest one.
fastest_group
dispatcher::state::fastest_targets(const service_name& service) const
{
    fastest_group out;
    const auto& groups = targets.view(service).groups;
    if (groups.empty())
    {
        return out;
    }
    out.min_step = groups.rbegin()->first - equal_speed_steps;
    for (auto it = groups.lower_bound(out.min_step); it != groups.end(); ++it)
    {
        const auto& group = it->second;
        out.credits += group.credits;
        out.free += group.credits - std::min(group.busy, group.credits);
    }
    return out;
}

// Returns the slowest target on which the task very probably ends in time, so
// that faster targets stay free for jobs that pay for shorter waits. In
// shortest-wait order, when every admitted job can still begin in time, the
// last free credit of the fastest targets is kept for the shortest wait.
target_record* dispatcher::state::slowest_in_time(const job_record& job,
                                                  uint32_t task,
                                                  queue_order order,
                                                  time_point now)
{
    const auto top = fastest_targets(job.request.service);
    const bool keep = order == queue_order::shortest_wait &&
                      top.credits >= min_credits_to_keep &&
                      top.free <= kept_credits;
    target_record* candidate = nullptr;
    for (const auto& [step, agent] : targets.ready())
    {
        auto& t = *targets.find(agent);
        if (!may_start(t, job, now) || (keep && step >= top.min_step))
        {
            continue;
        }
        candidate = &t;
        if (in_time(job, task, t.speed, now))
        {
            return candidate;
        }
    }
    return candidate;
}

// Whether a faster target that is busy now is expected to end the task sooner
// than the best free one. @param skipped tasks already waiting for such a
// target
bool dispatcher::state::better_to_wait(const job_record& job, uint32_t task,
                                       const target_record& best,
                                       unsigned skipped) const
{
    const auto mean = job.expected[task].mean;
    const auto here = time_for(mean, best.speed);
    const auto& groups = targets.view(job.request.service).groups;
    return std::any_of(groups.upper_bound(best.speed_step), groups.end(),
                       [&](const auto& it)
                       {
                           const auto& group = it.second;
                           const auto there = time_for(mean, group.speed);
                           return group.busy > 0 &&
                                  there + there * (skipped + 1) / group.busy <
                                      here;
                       });
}

// Whether the high quantile of the task's run time at this speed, with the
// round trip, ends before the job's deadline.
bool dispatcher::state::in_time(const job_record& job, uint32_t task,
                                double speed, time_point now) const
{
    const auto run = time_for(job.expected[task].high, speed);
    const auto delay = targets.view(job.request.service).longest_delay;
    return now + run + 2 * delay <= job.deadline;
}

// Whether a target of any speed group, busy or not, would end the task in time
// if it started now.
bool dispatcher::state::others_in_time(const job_record& job, uint32_t task,
                                       time_point now) const
{
    const auto& groups = targets.view(job.request.service).groups;
    return std::any_of(groups.rbegin(), groups.rend(),
                       [&](const auto& it) {
                           return it.second.credits > 0 &&
                                  in_time(job, task, it.second.speed, now);
                       });
}

// Chooses the target for the next task of a job.
// @return null to wait for a better target
target_record* dispatcher::state::choose(const job_record& job, uint32_t task,
                                         unsigned skipped, queue_order order,
                                         time_point now)
{
    const bool most_expensive = is_most_expensive(job, now);
    auto* best = most_expensive ? fastest(job, now)
                                : slowest_in_time(job, task, order, now);
    if (best == nullptr)
    {
        return nullptr;
    }
    const bool too_slow =
        !in_time(job, task, best->speed, now) && others_in_time(job, task, now);
    const bool wait = too_slow || (most_expensive &&
                                   better_to_wait(job, task, *best, skipped));
    return wait ? nullptr : best;
}

} // namespace agatebank
