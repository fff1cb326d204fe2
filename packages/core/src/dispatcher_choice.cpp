#include "dispatcher_state.hpp"

#include <algorithm>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr int equal_speed_steps = 2; // taken for the same speed
constexpr std::size_t most_probe_tasks = 4;
constexpr duration probe_patience = 3s; // until any job may be the probe
constexpr unsigned kept_credits = 1;    // of the fastest targets
constexpr unsigned least_credits_to_keep = 4;

} // namespace

bool dispatcher::state::may_start(const target_record& t, const job_record& job,
                                  time_point now) const
{
    const auto agent = t.offer.agent;
    if (!t.serves(job.request.service) || !t.has_room(job.request.service) ||
        !pacer.may_start(agent, now))
    {
        return false;
    }
    if (!options.ejection || health.state(agent, now) == health_state::healthy)
    {
        return true;
    }
    return health.may_start(agent, now) && may_probe(job, agent, now);
}

// A start at a target in doubt risks the whole job: small jobs of the longest
// wait that is offered go first, and any job when none of these has come.
bool dispatcher::state::may_probe(const job_record& job,
                                  agent_incarnation agent, time_point now) const
{
    if (now - health.in_doubt_since(agent) > probe_patience)
    {
        return true;
    }
    const auto& offered = services.at(job.request.service).offered;
    return !job.request.never_delay &&
           job.expected.size() <= most_probe_tasks &&
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

// The fastest targets of a service, of nearly equal speed.
fastest_group
dispatcher::state::fastest_targets(const service_name& service) const
{
    fastest_group out;
    const auto& groups = targets.view(service).groups;
    if (groups.empty())
    {
        return out;
    }
    out.least_step = groups.rbegin()->first - equal_speed_steps;
    for (auto it = groups.lower_bound(out.least_step); it != groups.end(); ++it)
    {
        const auto& group = it->second;
        out.credits += group.credits;
        out.free += group.credits - std::min(group.busy, group.credits);
    }
    return out;
}

// The slowest target on which nearly every such task ends in time; leaves
// the fast ones to those who pay for them. While all promises hold, the last
// free credit of the fastest targets is kept for the shortest wait.
target_record* dispatcher::state::slowest_in_time(const job_record& job,
                                                  uint32_t task,
                                                  queue_order order,
                                                  time_point now)
{
    const auto top = fastest_targets(job.request.service);
    const bool keep = order == queue_order::patience &&
                      top.credits >= least_credits_to_keep &&
                      top.free <= kept_credits;
    target_record* last = nullptr;
    for (const auto& [step, agent] : targets.ready())
    {
        auto& t = *targets.find(agent);
        if (!may_start(t, job, now) || (keep && step >= top.least_step))
        {
            continue;
        }
        last = &t;
        if (in_time(job, task, t.speed, now))
        {
            return last;
        }
    }
    return last;
}

// Whether a faster target, busy now, is expected to end the task sooner than
// the best free one. held tasks wait for the same already.
bool dispatcher::state::better_to_wait(const job_record& job, uint32_t task,
                                       const target_record& best,
                                       unsigned held) const
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
                                  there + there * (held + 1) / group.busy <
                                      here;
                       });
}

// Whether nearly every such task started now at this speed ends in time.
bool dispatcher::state::in_time(const job_record& job, uint32_t task,
                                double speed, time_point now) const
{
    const auto run = time_for(job.expected[task].high, speed);
    const auto delay = targets.view(job.request.service).longest_delay;
    return now + run + 2 * delay <= job.deadline;
}

// Whether a target that is busy now would still end the task in time.
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

// The target for the next task of a job; null to wait for a better one.
target_record* dispatcher::state::choose(const job_record& job, uint32_t task,
                                         unsigned held, queue_order order,
                                         time_point now)
{
    const bool dearest = is_dearest(job, now);
    auto* best =
        dearest ? fastest(job, now) : slowest_in_time(job, task, order, now);
    if (best == nullptr)
    {
        return nullptr;
    }
    const bool risky =
        !in_time(job, task, best->speed, now) && others_in_time(job, task, now);
    const bool wait =
        risky || (dearest && better_to_wait(job, task, *best, held));
    return wait ? nullptr : best;
}

} // namespace agatebank
