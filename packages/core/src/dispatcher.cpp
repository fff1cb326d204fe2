#include <agatebank/core/dispatcher.hpp>
#include <agatebank/core/error.hpp>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr duration default_run_time = 200ms;
constexpr duration refusal_pause = 500ms;

// Order of waiting jobs: never-delay first, then earliest deadline.
struct urgency
{
    bool delayable = true;
    time_point deadline;
    job_key job;
    auto operator<=>(const urgency&) const = default;
};

struct job_record
{
    job_request request;
    time_point deadline;
    std::deque<uint32_t> waiting;
    std::set<uint32_t> unsettled;

    urgency order() const
    {
        return {!request.never_delay, deadline, request.key};
    }
};

struct target_record
{
    target_offer offer;
    unsigned grant = 0;
    std::set<task_ref> in_flight;

    bool serves(const service_name& service) const
    {
        return offer.accepts_work &&
               std::find(offer.services.begin(), offer.services.end(),
                         service) != offer.services.end();
    }
    bool has_credit() const
    {
        return in_flight.size() < grant;
    }
};

} // namespace

struct dispatcher::state
{
    dispatch_options options;
    std::map<agent_incarnation, target_record> targets;
    std::map<job_key, job_record> jobs;
    std::set<urgency> order;

    target_record* choose(const service_name& service)
    {
        target_record* best = nullptr;
        std::size_t best_free = 0;
        for (auto& [agent, target] : targets)
        {
            if (!target.serves(service) || !target.has_credit())
            {
                continue;
            }
            const auto free = target.grant - target.in_flight.size();
            if (free > best_free)
            {
                best = &target;
                best_free = free;
            }
        }
        return best;
    }
};

dispatcher::dispatcher(dispatch_options options)
    : state_(std::make_unique<state>())
{
    state_->options = options;
}

dispatcher::~dispatcher() = default;

void dispatcher::put_target(const target_offer& offer, time_point)
{
    state_->targets[offer.agent].offer = offer;
}

void dispatcher::set_grant(agent_incarnation agent, unsigned grant)
{
    const auto it = state_->targets.find(agent);
    if (it != state_->targets.end())
    {
        it->second.grant = grant;
    }
}

std::vector<task_ref> dispatcher::remove_target(agent_incarnation agent)
{
    std::vector<task_ref> out;
    const auto it = state_->targets.find(agent);
    if (it == state_->targets.end())
    {
        return out;
    }
    out.assign(it->second.in_flight.begin(), it->second.in_flight.end());
    state_->targets.erase(it);
    return out;
}

admission dispatcher::admit(const job_request& job, time_point now)
{
    admission out;
    if (state_->jobs.count(job.key) != 0)
    {
        out.refusal = errc::request_malformed;
        return out;
    }
    const bool served = std::any_of(
        state_->targets.begin(), state_->targets.end(),
        [&](const auto& t) { return t.second.serves(job.service); });
    if (!served)
    {
        out.refusal = errc::wait_unattainable;
        out.retry_after = refusal_pause;
        return out;
    }
    job_record record{job, now + job.wait, {}, {}};
    for (uint32_t i = 0; i < job.tasks.size(); ++i)
    {
        record.waiting.push_back(i);
        record.unsettled.insert(i);
    }
    out.deadline = record.deadline;
    state_->order.insert(record.order());
    state_->jobs.emplace(job.key, std::move(record));
    return out;
}

std::vector<assignment> dispatcher::remove_job(job_key job)
{
    std::vector<assignment> out;
    const auto it = state_->jobs.find(job);
    if (it == state_->jobs.end())
    {
        return out;
    }
    for (const auto& [agent, target] : state_->targets)
    {
        for (const auto& task : target.in_flight)
        {
            if (task.job == job)
            {
                out.push_back({task, agent, it->second.deadline});
            }
        }
    }
    state_->order.erase(it->second.order());
    state_->jobs.erase(it);
    return out;
}

void dispatcher::on_outcome(task_ref task, agent_incarnation agent,
                            task_outcome, duration, time_point)
{
    const auto target = state_->targets.find(agent);
    if (target == state_->targets.end() ||
        target->second.in_flight.erase(task) == 0)
    {
        return;
    }
    const auto job = state_->jobs.find(task.job);
    if (job != state_->jobs.end())
    {
        job->second.unsettled.erase(task.task.value());
    }
}

void dispatcher::on_not_run(task_ref task, agent_incarnation agent, time_point)
{
    const auto target = state_->targets.find(agent);
    if (target == state_->targets.end() ||
        target->second.in_flight.erase(task) == 0)
    {
        return;
    }
    const auto job = state_->jobs.find(task.job);
    if (job != state_->jobs.end())
    {
        job->second.waiting.push_front(task.task.value());
        state_->order.insert(job->second.order());
    }
}

std::vector<assignment> dispatcher::assign(time_point)
{
    std::vector<assignment> out;
    for (auto it = state_->order.begin(); it != state_->order.end();)
    {
        auto& job = state_->jobs.at(it->job);
        auto* target = state_->choose(job.request.service);
        while (target != nullptr && !job.waiting.empty())
        {
            const task_ref task{job.request.key,
                                task_index(job.waiting.front())};
            job.waiting.pop_front();
            target->in_flight.insert(task);
            out.push_back({task, target->offer.agent, job.deadline});
            target = state_->choose(job.request.service);
        }
        it = job.waiting.empty() ? state_->order.erase(it) : std::next(it);
    }
    return out;
}

std::vector<job_key> dispatcher::overdue(time_point now) const
{
    std::vector<job_key> out;
    for (const auto& [key, job] : state_->jobs)
    {
        if (job.deadline <= now && !job.unsettled.empty())
        {
            out.push_back(key);
        }
    }
    return out;
}

demand_report dispatcher::demand(agent_incarnation agent, time_point now) const
{
    demand_report out;
    out.least_slack = duration::max();
    const auto target = state_->targets.find(agent);
    if (target == state_->targets.end())
    {
        return out;
    }
    out.in_flight = static_cast<uint32_t>(target->second.in_flight.size());
    for (const auto& it : state_->order)
    {
        const auto& job = state_->jobs.at(it.job);
        if (target->second.serves(job.request.service))
        {
            out.queued += static_cast<uint32_t>(job.waiting.size());
            out.least_slack = std::min(out.least_slack,
                                       job.deadline - now - default_run_time);
        }
    }
    return out;
}

std::size_t dispatcher::waiting_tasks() const
{
    std::size_t n = 0;
    for (const auto& [key, job] : state_->jobs)
    {
        n += job.waiting.size();
    }
    return n;
}

std::size_t dispatcher::waiting_tasks(const caller_name& caller) const
{
    std::size_t n = 0;
    for (const auto& [key, job] : state_->jobs)
    {
        n += job.request.caller == caller ? job.waiting.size() : 0;
    }
    return n;
}

std::size_t dispatcher::in_flight_tasks() const
{
    std::size_t n = 0;
    for (const auto& [agent, target] : state_->targets)
    {
        n += target.in_flight.size();
    }
    return n;
}

bool dispatcher::is_ejected(agent_incarnation, time_point) const
{
    return false;
}

} // namespace agatebank
