#include <agatebank/core/dispatcher.hpp>
#include <agatebank/core/error.hpp>
#include <agatebank/core/job_queue.hpp>
#include <agatebank/core/offered_load.hpp>
#include <agatebank/core/retry_pacer.hpp>
#include <agatebank/core/run_time_estimator.hpp>
#include <agatebank/core/target_health.hpp>
#include <agatebank/core/target_table.hpp>
#include <agatebank/core/work_backlog.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <unordered_map>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr duration shortest_retry_after = 100ms;
constexpr duration longest_retry_after = 10s;
constexpr duration no_target_retry_after = 500ms;
constexpr duration shortest_ejection = 250ms;
constexpr double least_speed_share = 0.05; // for the longest waits
constexpr double least_even_share = 0.5;   // of an entry under contention
constexpr duration order_margin = 200ms;   // slack that patience order leaves
constexpr double admission_margin = 0.1;   // of the wait, but the shortest
constexpr int equal_speed_steps = 2;       // taken for the same speed
constexpr std::size_t most_probe_tasks = 4;
constexpr duration probe_patience = 3s; // until any job may be the probe
constexpr unsigned kept_credits = 1;    // of the fastest targets
constexpr unsigned least_credits_to_keep = 4;
constexpr unsigned max_held_jobs = 8; // looked past in one round

struct job_record
{
    job_request request;
    time_point deadline;
    work_place place;
    std::vector<run_time_prediction> expected; // by task
    std::size_t unsettled = 0;
    std::map<uint32_t, agent_incarnation> in_flight;
};

// What is known of the work of one service.
struct service_record
{
    work_backlog waiting;
    offered_load offered;
};

// The fastest targets of a service.
struct fastest_group
{
    int least_step = 0;
    unsigned credits = 0;
    unsigned free = 0;
};

// The more waste weighs, the longer a target that failed is left alone.
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

work sum_of(const std::vector<run_time_prediction>& tasks)
{
    work sum{};
    for (const auto& it : tasks)
    {
        sum += it.mean;
    }
    return sum;
}

// Tasks of a job, the longest first, so that the job's end is not delayed by
// a long task that began last.
std::vector<uint32_t> longest_first(const std::vector<run_time_prediction>& all)
{
    std::vector<uint32_t> out(all.size());
    std::iota(out.begin(), out.end(), 0U);
    std::stable_sort(out.begin(), out.end(),
                     [&](uint32_t a, uint32_t b)
                     { return all[a].mean > all[b].mean; });
    return out;
}

} // namespace

struct dispatcher::state
{
    explicit state(dispatch_options o)
        : options(o)
        , times(o.learned_run_times)
        , health(health_options_of(o))
        , pacer(o.seed + 1)
        , jitter(o.seed + 2)
        , targets(times, health, o.ejection)
    {
    }

    dispatch_options options;
    run_time_estimator times;
    health_monitor health;
    retry_pacer pacer;
    random_jitter jitter;
    target_table targets;
    std::unordered_map<job_key, job_record> jobs;
    std::set<std::pair<time_point, job_key>> deadlines; // of unsettled jobs
    std::map<caller_name, std::size_t> waiting_of;
    std::map<service_name, service_record> services;
    job_queue queue;
    work in_flight_work{};

    // targets
    bool may_start(const target_record& t, const job_record& job,
                   time_point now) const;
    bool may_probe(const job_record& job, agent_incarnation agent,
                   time_point now) const;
    double total_speed(const service_name& service) const;

    // admission
    duration run_bound(const job_record& job) const;
    std::optional<duration> excess_wait(const job_record& job, double speed,
                                        time_point now) const;
    bool keeps_promises(const job_record& job, double speed,
                        time_point now) const;
    void enqueue(job_record&& job);

    // starts
    target_record* choose(const job_record& job, uint32_t task, unsigned held,
                          queue_order order, time_point now);
    target_record* fastest(const job_record& job, time_point now);
    fastest_group fastest_targets(const service_name& service) const;
    target_record* slowest_in_time(const job_record& job, uint32_t task,
                                   queue_order order, time_point now);
    bool in_time(const job_record& job, uint32_t task, double speed,
                 time_point now) const;
    bool others_in_time(const job_record& job, uint32_t task,
                        time_point now) const;
    bool better_to_wait(const job_record& job, uint32_t task,
                        const target_record& best, unsigned held) const;
    bool is_dearest(const job_record& job, time_point now) const;
    assignment start(job_record& job, target_record& t, time_point now);
    duration slack_of(const service_name& service, time_point now) const;
    queue_order order_of(const service_name& service, duration slack) const;
    void assign_service(const service_name& service, time_point now,
                        std::vector<assignment>& out);
    std::optional<unreported_start> end_start(task_ref task,
                                              agent_incarnation agent);
    void settle(task_ref task);
};

// ----- targets -----

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

// Speed of the slots that this entry may count on: those it has, or its even
// share of all targets. While tasks wait it has asked for all that it can
// get, and only part of the even share is sure.
double dispatcher::state::total_speed(const service_name& service) const
{
    const auto& v = targets.view(service);
    const double even = v.slots_speed / std::max(options.entries, 1U);
    const double least = queue.size() > 0 ? least_even_share * even : even;
    return std::max(v.granted_speed, least);
}

// ----- admission -----

// Time that a job's longest task is allowed for: the round trip and the high
// quantile of its run time, but not more than half of the wait as long as the
// expected run time fits.
duration dispatcher::state::run_bound(const job_record& job) const
{
    duration mean{};
    duration high{};
    for (const auto& it : job.expected)
    {
        mean = std::max(mean, it.mean);
        high = std::max(high, it.high);
    }
    const auto& v = targets.view(job.request.service);
    return 2 * v.longest_delay + std::min(time_for(high, v.mean_speed),
                                          std::max(time_for(mean, v.mean_speed),
                                                   job.request.wait / 2));
}

// How much too late the last task of a job would begin; nothing when in time.
// Capacity that shorter waits are expected to take is left out.
std::optional<duration> dispatcher::state::excess_wait(const job_record& job,
                                                       double speed,
                                                       time_point now) const
{
    work ahead = in_flight_work + sum_of(job.expected);
    double taken = 0;
    const auto& sharing = targets.view(job.request.service).sharing;
    for (const auto& [service, record] : services)
    {
        if (sharing.count(service) != 0)
        {
            ahead += record.waiting.ahead_of(job.place);
            taken += job.request.never_delay
                         ? 0
                         : record.offered.rate_below(job.request.wait, now);
        }
    }
    const double left = std::max(speed - taken, least_speed_share * speed);
    const auto margin =
        is_dearest(job, now)
            ? duration::zero()
            : duration(static_cast<int64_t>(
                  admission_margin *
                  static_cast<double>(job.request.wait.count())));
    const auto begins = now + time_for(ahead, left) + margin;
    if (begins <= job.place.latest_start)
    {
        return std::nullopt;
    }
    return begins - job.place.latest_start;
}

bool dispatcher::state::keeps_promises(const job_record& job, double speed,
                                       time_point now) const
{
    const auto extra = sum_of(job.expected);
    const auto& sharing = targets.view(job.request.service).sharing;
    for (const auto& [service, record] : services)
    {
        if (sharing.count(service) != 0 &&
            !record.waiting.fits(job.place, extra, in_flight_work, speed, now))
        {
            return false;
        }
    }
    return true;
}

void dispatcher::state::enqueue(job_record&& job)
{
    const auto key = job.request.key;
    const auto& service = job.request.service;
    services[service].waiting.add(job.place, sum_of(job.expected));
    waiting_of[job.request.caller] += job.expected.size();
    queue.add(
        service,
        {job.place.delayable, job.request.wait, job.place.latest_start, key},
        longest_first(job.expected));
    deadlines.insert({job.deadline, key});
    jobs.emplace(key, std::move(job));
}

// ----- starts -----

bool dispatcher::state::is_dearest(const job_record& job, time_point now) const
{
    if (job.request.never_delay)
    {
        return true;
    }
    const auto it = services.find(job.request.service);
    return it == services.end() ||
           it->second.offered.is_shortest(job.request.wait, now);
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

assignment dispatcher::state::start(job_record& job, target_record& t,
                                    time_point now)
{
    const auto key = job.request.key;
    const auto i = *queue.take(key);
    const task_ref task{key, task_index(i)};
    const auto& expected = job.expected[i];
    services[job.request.service].waiting.remove(job.place, expected.mean);
    --waiting_of[job.request.caller];
    in_flight_work += expected.mean;
    job.in_flight[i] = t.offer.agent;
    targets.add_start(t, task,
                      {job.request.service,
                       job.request.tasks[i].declared_run_time, expected.mean});
    health.on_start(t.offer.agent, time_for(expected.high, t.speed), now);
    pacer.on_start();
    return {task, t.offer.agent, job.deadline};
}

// Time that starts out of the order of latest start may take without breaking
// a promise.
duration dispatcher::state::slack_of(const service_name& service,
                                     time_point now) const
{
    const double speed = total_speed(service);
    const auto it = services.find(service);
    return speed <= 0 || it == services.end()
               ? duration::min()
               : it->second.waiting.slack(in_flight_work, speed, now);
}

// The shortest waits go first as long as all promises can still be kept by
// the order of latest start afterwards.
queue_order dispatcher::state::order_of(const service_name& service,
                                        duration slack) const
{
    const auto first = queue.first(service, queue_order::patience);
    if (!first || slack <= order_margin)
    {
        return queue_order::latest_start;
    }
    const auto& job = jobs.at(first->job);
    const auto task = job.expected[*queue.peek(first->job)].mean;
    return slack - order_margin > time_for(task, total_speed(service))
               ? queue_order::patience
               : queue_order::latest_start;
}

void dispatcher::state::assign_service(const service_name& service,
                                       time_point now,
                                       std::vector<assignment>& out)
{
    unsigned held = 0;
    auto slack = slack_of(service, now);
    auto order = order_of(service, slack);
    auto next = queue.first(service, order);
    while (next && held < max_held_jobs && !targets.ready().empty())
    {
        auto& job = jobs.at(next->job);
        const auto task = queue.peek(next->job);
        auto* target = task ? choose(job, *task, held, order, now) : nullptr;
        if (target == nullptr)
        {
            ++held;
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

// Ends a start that an agent reported. @return nothing when it is unknown
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

// ----- dispatcher -----

dispatcher::dispatcher(dispatch_options options)
    : state_(std::make_unique<state>(options))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::put_target(const target_offer& offer, time_point)
{
    state_->health.add(offer.agent);
    state_->targets.put(offer);
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
    state_->health.remove(agent);
    state_->pacer.forget(agent);
    state_->times.forget(agent);
    return out;
}

admission dispatcher::admit(const job_request& job, time_point now)
{
    admission out;
    if (job.tasks.empty() || state_->jobs.count(job.key) != 0)
    {
        out.refusal = errc::request_malformed;
        return out;
    }
    state_->targets.refresh(now);
    const double speed = state_->total_speed(job.service);
    if (speed <= 0)
    {
        out.refusal = errc::wait_unattainable;
        out.retry_after = state_->jitter.spread(no_target_retry_after);
        return out;
    }
    job_record record;
    record.request = job;
    record.deadline = now + job.wait;
    record.unsettled = job.tasks.size();
    for (const auto& it : job.tasks)
    {
        record.expected.push_back(
            state_->times.predict(job.service, it.declared_run_time));
    }
    record.place = work_backlog::place_of(
        !job.never_delay, record.deadline - state_->run_bound(record),
        job.wait);
    const auto excess = state_->excess_wait(record, speed, now);
    state_->services[job.service].offered.add(job.never_delay ? duration::zero()
                                                              : job.wait,
                                              sum_of(record.expected), now);
    if (state_->options.admission_control &&
        (excess || !state_->keeps_promises(record, speed, now)))
    {
        out.refusal = errc::wait_unattainable;
        out.retry_after = state_->jitter.spread(
            std::clamp(excess.value_or(shortest_retry_after),
                       shortest_retry_after, longest_retry_after));
        return out;
    }
    out.deadline = record.deadline;
    state_->enqueue(std::move(record));
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
    auto& record = it->second;
    for (const auto& [i, agent] : record.in_flight)
    {
        out.push_back({{job, task_index(i)}, agent, record.deadline});
    }
    auto& service = state_->services[record.request.service];
    const auto waiting = state_->queue.remove(job);
    for (const auto i : waiting)
    {
        service.waiting.remove(record.place, record.expected[i].mean);
    }
    auto& count = state_->waiting_of[record.request.caller];
    count -= waiting.size();
    if (count == 0)
    {
        state_->waiting_of.erase(record.request.caller);
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
    state_->services[ended->service].waiting.add(job->second.place,
                                                 ended->expected);
    ++state_->waiting_of[job->second.request.caller];
}

std::vector<assignment> dispatcher::assign(time_point now)
{
    std::vector<assignment> out;
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
    const auto it = state_->waiting_of.find(caller);
    return it == state_->waiting_of.end() ? 0 : it->second;
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
