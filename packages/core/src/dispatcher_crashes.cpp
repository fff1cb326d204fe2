#include "dispatcher_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// All starts at a crashed target are reported within this time.
constexpr duration loss_report_spread = 200ms;
/// Time constant of the starts and losses that a caller's crash rate rests on.
constexpr duration crash_rate_decay_time = 10s;

// A caller's tasks of one service behave alike as far as is known, so they are
// remembered as one task of a route of their own.
std::string to_probation_name(const job_request& job)
{
    return job.service.value() + "/" + job.caller.value();
}

} // namespace

const std::set<agent_incarnation>&
dispatcher::state::probation_of(const service_name& service)
{
    const auto [it, is_new] = probation_targets.try_emplace(service);
    if (is_new)
    {
        it->second = select_probation_targets(targets.agents_of(service));
    }
    return it->second;
}

bool dispatcher::state::on_probation(const job_request& job,
                                     time_point now) const
{
    return crashes.on_probation(route_name(to_probation_name(job)), now);
}

bool dispatcher::state::keeps_probation(const target_record& t,
                                        const job_record& job, time_point now)
{
    const auto& service = job.request.service;
    if (!crashes.has_probation(service, now))
    {
        return true;
    }
    const auto& reserved = probation_of(service);
    const bool is_reserved = reserved.count(t.offer.agent) != 0;
    if (on_probation(job.request, now) && !job.has_answer)
    {
        return is_reserved && job.in_flight.empty() && t.in_flight.empty();
    }
    return !is_reserved || reserved.size() == targets.agents_of(service).size();
}

bool dispatcher::state::has_probation_target(const service_name& service)
{
    const auto& reserved = probation_of(service);
    return std::any_of(reserved.begin(), reserved.end(),
                       [this](agent_incarnation agent)
                       {
                           const auto* t = targets.find(agent);
                           return t != nullptr && t->offer.accepts_work;
                       });
}

void dispatcher::state::record_loss(task_ref task, const target_record& t,
                                    time_point now)
{
    const auto job = jobs.find(task.job);
    if (job == jobs.end())
    {
        return;
    }
    const auto agent = t.offer.agent;
    auto& loss = losses[agent];
    if (loss.number == 0 || now - loss.latest > loss_report_spread)
    {
        ++loss.number;
    }
    loss.latest = now;
    const auto& rq = job->second.request;
    const bool isolated = on_probation(rq, now) && !job->second.has_answer;
    const auto name = to_probation_name(rq);
    unattributed_losses.push_back({{name, 0, 0},
                                   route_name(name),
                                   rq.service,
                                   {agent, loss_number(loss.number)},
                                   isolated,
                                   true,
                                   false});
}

void dispatcher::state::attribute_losses(time_point now)
{
    std::map<target_loss_id, std::map<route_name, crash_report>> losses_by_id;
    for (const auto& it : std::exchange(unattributed_losses, {}))
    {
        losses_by_id[it.loss].emplace(it.route, it);
    }
    for (const auto& [id, callers] : losses_by_id)
    {
        const crash_report* cause = nullptr;
        double highest = 0;
        for (const auto& [name, report] : callers)
        {
            auto& rate = crash_rates[name];
            rate.decay(now);
            ++rate.losses;
            if (cause == nullptr || rate.losses_per_start() > highest)
            {
                highest = rate.losses_per_start();
                cause = &report;
            }
        }
        // A single crash may have a cause of its own.
        auto report = *cause;
        report.isolated |= crashes.losses(report.task) > 0;
        crashes.merge({report}, now);
    }
    crashes.expire(now);
}

void dispatcher::state::count_start(const job_request& job, time_point now)
{
    auto& rate = crash_rates[route_name(to_probation_name(job))];
    rate.decay(now);
    ++rate.starts;
}

void crash_rate::decay(time_point now)
{
    const double age = std::chrono::duration<double>(now - updated) /
                       std::chrono::duration<double>(crash_rate_decay_time);
    const double kept = std::exp(-std::max(0.0, age));
    starts *= kept;
    losses *= kept;
    updated = now;
}

double crash_rate::losses_per_start() const
{
    return losses / std::max(1.0, starts);
}

} // namespace agatebank
