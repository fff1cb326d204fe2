#include "dispatcher_state.hpp"
#include <agatebank/core/error.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr duration shortest_retry_after = 100ms;
constexpr duration no_target_retry_after = 500ms;
constexpr duration shortest_ejection = 250ms;
// Shortest-wait order is used only while more slack than this remains, so that
// work in latest-start order afterwards still begins in time.
constexpr duration order_margin = 200ms;
// Jobs without a suitable target that one round skips; bounds its cost.
constexpr unsigned max_skipped_jobs = 8;

// A higher weight of wasted work lengthens the ejection of a failed target.
health_options health_options_of(const dispatch_options& o)
{
    health_options out;
    out.max_ejected_share = o.max_ejected_share;
    out.first_period = duration(static_cast<int64_t>(
        2 * o.weights.waste * static_cast<double>(out.first_period.count())));
    out.first_period = std::max(out.first_period, shortest_ejection);
    out.seed = o.seed;
    return out;
}

} // namespace

dispatcher::state::state(const dispatch_options& o)
    : options(o)
    , times(o.learned_run_times)
    , health(health_options_of(o))
    , pacer(o.seed + 1)
    , jitter(o.seed + 2)
    , targets(times, health, o.ejection)
{
}

assignment dispatcher::state::start(job_record& job, target_record& t,
                                    time_point now)
{
    const auto key = job.request.key;
    const auto i = *queue.take(key);
    const task_ref task{key, task_index(i)};
    const auto& expected = job.expected[i];
    services[job.request.service].waiting.remove(job.bucket, expected.mean);
    --waiting_by_caller[job.request.caller];
    in_flight_work += expected.mean;
    count_start(job.request, now);
    job.in_flight[i] = t.offer.agent;
    targets.add_start(t, task,
                      {job.request.service,
                       job.request.tasks[i].declared_run_time, expected.mean});
    health.on_start(t.offer.agent, time_for(expected.high, t.speed), now);
    pacer.on_start();
    return {task, t.offer.agent, job.deadline};
}

// Time that starts in another order than latest start may take before an
// admitted job would begin late.
duration dispatcher::state::slack_of(const service_name& service,
                                     time_point now) const
{
    const double speed = total_speed(service);
    const auto it = services.find(service);
    return speed <= 0 || it == services.end()
               ? duration::min()
               : it->second.waiting.slack(in_flight_work, speed, now);
}

// Jobs with the shortest waits go first while switching to latest-start order
// afterwards still lets every admitted job begin in time.
queue_order dispatcher::state::order_of(const service_name& service,
                                        duration slack) const
{
    const auto first = queue.first(service, queue_order::shortest_wait);
    if (!first || slack <= order_margin)
    {
        return queue_order::latest_start;
    }
    const auto& job = jobs.at(first->job);
    const auto task = job.expected[*queue.peek(first->job)].mean;
    return slack - order_margin > time_for(task, total_speed(service))
               ? queue_order::shortest_wait
               : queue_order::latest_start;
}

void dispatcher::state::assign_service(const service_name& service,
                                       time_point now,
                                       std::vector<assignment>& out)
{
    unsigned skipped = 0;
    auto slack = slack_of(service, now);
    auto order = order_of(service, slack);
    auto next = queue.first(service, order);
    while (next && skipped < max_skipped_jobs && !targets.ready().empty())
    {
        auto& job = jobs.at(next->job);
        const auto task = queue.peek(next->job);
        auto* target = task ? choose(job, *task, skipped, order, now) : nullptr;
        if (target == nullptr)
        {
            ++skipped;
            next = queue.after(service, *next, order);
            continue;
        }
        const auto used =
            time_for(job.expected[*task].mean, total_speed(service));
        out.push_back(start(job, *target, now));
        slack -= slack == duration::max() ? duration::zero() : used;
        const auto changed = order_of(service, slack);
        if (changed != order)
        {
            order = changed;
            next = queue.first(service, order);
        }
        else if (!queue.peek(next->job))
        {
            next = queue.after(service, *next, order);
        }
    }
}

// Removes a start that an agent reported from the tasks in flight.
// @return nothing if the start is not in flight at this agent
std::optional<unreported_start>
dispatcher::state::end_start(task_ref task, agent_incarnation agent)
{
    auto* t = targets.find(agent);
    auto ended = t == nullptr ? std::nullopt : targets.end_start(*t, task);
    if (ended)
    {
        in_flight_work -= ended->expected;
        const auto job = jobs.find(task.job);
        if (job != jobs.end())
        {
            job->second.in_flight.erase(task.task.value());
        }
    }
    return ended;
}

void dispatcher::state::settle(task_ref task)
{
    const auto job = jobs.find(task.job);
    if (job != jobs.end() && --job->second.unsettled == 0)
    {
        deadlines.erase({job->second.deadline, task.job});
    }
}

dispatcher::dispatcher(dispatch_options options)
    : state_(std::make_unique<state>(options))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::set_weights(const policy_weights& weights)
{
    state_->options.weights = weights;
    state_->health.set_first_period(
        health_options_of(state_->options).first_period);
}

void dispatcher::set_entries(unsigned entries)
{
    state_->options.entries = entries;
}

void dispatcher::put_target(const target_offer& offer, time_point)
{
    state_->health.add(offer.agent);
    state_->targets.put(offer);
    state_->probation_targets.clear();
}

void dispatcher::set_grant(agent_incarnation agent, unsigned grant)
{
    state_->targets.set_grant(agent, grant);
}

std::vector<task_ref> dispatcher::remove_target(agent_incarnation agent)
{
    const auto* t = state_->targets.find(agent);
    if (t == nullptr)
    {
        return {};
    }
    std::vector<task_ref> out;
    for (const auto& [task, start] : t->in_flight)
    {
        out.push_back(task);
    }
    for (const auto& task : out)
    {
        state_->end_start(task, agent);
        state_->settle(task);
    }
    state_->targets.remove(agent);
    state_->probation_targets.clear();
    state_->losses.erase(agent);
    state_->health.remove(agent);
    state_->pacer.remove(agent);
    state_->times.remove(agent);
    return out;
}

admission dispatcher::admit(const job_request& job, time_point now)
{
    if (job.tasks.empty() || state_->jobs.count(job.key) != 0)
    {
        return {errc::request_malformed, {}, {}};
    }
    state_->targets.refresh(now);
    state_->attribute_losses(now);
    const double speed = state_->total_speed(job.service);
    if (speed <= 0)
    {
        return state_->refuse(no_target_retry_after);
    }
    if (state_->on_probation(job, now) &&
        !state_->has_probation_target(job.service))
    {
        return state_->refuse(no_target_retry_after);
    }
    auto record = state_->make_record(job, now);
    const auto lateness = state_->start_lateness(record, speed, now);
    state_->services[job.service].offered.add(
        job.never_delay ? duration::zero() : job.wait, record.total(), now);
    if (state_->options.admission_control &&
        (lateness || !state_->meets_admitted_deadlines(record, speed, now)))
    {
        return state_->refuse(lateness.value_or(shortest_retry_after));
    }
    const auto deadline = record.deadline;
    state_->enqueue(std::move(record));
    return {{}, {}, deadline};
}

std::vector<assignment> dispatcher::remove_job(job_key job)
{
    std::vector<assignment> out;
    const auto it = state_->jobs.find(job);
    if (it == state_->jobs.end())
    {
        return out;
    }
    auto& record = it->second;
    for (const auto& [i, agent] : record.in_flight)
    {
        out.push_back({{job, task_index(i)}, agent, record.deadline});
    }
    auto& service = state_->services[record.request.service];
    const auto waiting = state_->queue.remove(job);
    for (const auto i : waiting)
    {
        service.waiting.remove(record.bucket, record.expected[i].mean);
    }
    auto& count = state_->waiting_by_caller[record.request.caller];
    count -= waiting.size();
    if (count == 0)
    {
        state_->waiting_by_caller.erase(record.request.caller);
    }
    state_->deadlines.erase({record.deadline, job});
    state_->jobs.erase(it);
    return out;
}

void dispatcher::on_outcome(task_ref task, agent_incarnation agent,
                            task_outcome outcome, duration run_time,
                            time_point now)
{
    const auto ended = state_->end_start(task, agent);
    if (!ended)
    {
        return;
    }
    state_->pacer.on_run(agent);
    const auto job = state_->jobs.find(task.job);
    if (outcome == task_outcome::answered && job != state_->jobs.end())
    {
        job->second.has_answer = true;
    }
    if (outcome == task_outcome::target_lost)
    {
        state_->record_loss(task, *state_->targets.find(agent), now);
    }
    if (outcome == task_outcome::answered)
    {
        state_->health.on_answer(agent, now);
        state_->times.observe(ended->service, agent, ended->declared, run_time);
    }
    else
    {
        state_->health.on_failure(agent, task.job, now);
    }
    state_->targets.update(*state_->targets.find(agent));
    state_->settle(task);
}

void dispatcher::on_not_run(task_ref task, agent_incarnation agent,
                            time_point now)
{
    const auto ended = state_->end_start(task, agent);
    if (!ended)
    {
        return;
    }
    state_->health.on_not_run(agent);
    if (state_->options.retry_back_off)
    {
        state_->pacer.on_refusal(agent, now);
    }
    const auto job = state_->jobs.find(task.job);
    if (job == state_->jobs.end())
    {
        return;
    }
    state_->queue.put_back(task.job, task.task.value());
    state_->services[ended->service].waiting.add(job->second.bucket,
                                                 ended->expected);
    ++state_->waiting_by_caller[job->second.request.caller];
}

std::vector<assignment> dispatcher::assign(time_point now)
{
    std::vector<assignment> out;
    state_->attribute_losses(now);
    if (state_->queue.size() == 0 || state_->targets.ready().empty())
    {
        return out;
    }
    state_->targets.refresh(now);
    std::vector<std::pair<queue_position, service_name>> heads;
    for (const auto& service : state_->queue.services())
    {
        const auto order =
            state_->order_of(service, state_->slack_of(service, now));
        heads.emplace_back(*state_->queue.first(service, order), service);
    }
    std::sort(heads.begin(), heads.end());
    for (const auto& [position, service] : heads)
    {
        state_->assign_service(service, now, out);
    }
    return out;
}

std::vector<job_key> dispatcher::overdue(time_point now) const
{
    std::vector<job_key> out;
    for (const auto& [deadline, job] : state_->deadlines)
    {
        if (deadline > now)
        {
            break;
        }
        out.push_back(job);
    }
    return out;
}

demand_report dispatcher::demand(agent_incarnation agent, time_point now) const
{
    demand_report out;
    out.least_slack = duration::max();
    const auto* t = state_->targets.find(agent);
    if (t == nullptr)
    {
        return out;
    }
    out.in_flight = static_cast<uint32_t>(t->in_flight.size());
    if (!t->offer.accepts_work || is_ejected(agent, now))
    {
        return out;
    }
    for (const auto& service : t->offer.services)
    {
        out.queued += static_cast<uint32_t>(state_->queue.size(service));
        const auto first =
            state_->queue.first(service, queue_order::latest_start);
        if (first)
        {
            out.least_slack =
                std::min(out.least_slack, first->latest_start - now);
        }
    }
    return out;
}

std::size_t dispatcher::waiting_tasks() const
{
    return state_->queue.size();
}

std::size_t dispatcher::waiting_tasks(const caller_name& caller) const
{
    const auto it = state_->waiting_by_caller.find(caller);
    return it == state_->waiting_by_caller.end() ? 0 : it->second;
}

std::size_t dispatcher::waiting_tasks(job_key job) const
{
    return state_->queue.size(job);
}

std::size_t dispatcher::in_flight_tasks() const
{
    return state_->targets.in_flight();
}

bool dispatcher::is_ejected(agent_incarnation agent, time_point now) const
{
    return state_->options.ejection &&
           state_->health.state(agent, now) == health_state::ejected;
}

double dispatcher::speed(agent_incarnation agent) const
{
    return state_->times.speed(agent);
}

} // namespace agatebank
