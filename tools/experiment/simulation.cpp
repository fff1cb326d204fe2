#include "simulation.hpp"

#include "event_heap.hpp"
#include <agatebank/core/credit_allocator.hpp>
#include <agatebank/core/demand_reporter.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace agatebank::experiment
{

namespace
{

using namespace std::chrono_literals;

constexpr duration tick_period = 10ms;
constexpr duration loss_detection = 1s; // from failure to its detection
constexpr duration fast_failure_time = 2ms;
constexpr duration failing_run_time = 50ms;
constexpr double slow_factor = 6;
constexpr double cancelled_share = 0.3;
constexpr unsigned slow_target = 2;
constexpr unsigned rack_size = 3;

// A start that an agent has received and not finished.
struct held_start
{
    unsigned entry = 0;
    task_ref task;
    time_point deadline;

    auto key() const
    {
        return std::pair(entry, task);
    }
};

struct agent_model
{
    agent_model(uint32_t slots, uint32_t allowance, uint64_t salt)
        : credits(slots, allowance, salt)
    {
    }

    credit_allocator credits;
    double speed = 1;
    bool alive = true;
    unsigned running = 0;
    unsigned abandoned = 0; // timed out, but still running at the target
    std::deque<held_start> queue;
    std::map<unsigned, unsigned> unfinished; // number of starts by entry
    std::set<unsigned> removed;              // entries detected as lost
};

struct entry_job
{
    std::size_t arrival = 0;
    std::size_t unanswered = 0; // tasks
    time_point admitted;
};

struct entry_model
{
    std::unique_ptr<entry_policy> policy;
    bool alive = true;
    std::map<job_key, entry_job> jobs;
    std::map<unsigned, demand_reporter> reporters;
    std::map<unsigned, slot_grant> grants;
    std::set<unsigned> lost_agents;
};

agent_incarnation agent_id(unsigned i)
{
    return agent_incarnation(i);
}

unsigned index_of(agent_incarnation agent)
{
    return static_cast<unsigned>(agent.value());
}

entry_incarnation entry_id(unsigned i)
{
    return entry_incarnation(i);
}

class simulation
{
  public:
    simulation(const site& s, const scenario& sc, const policy_version& version)
        : site_(s)
        , scenario_(sc)
        , version_(version)
        , random_(s.seed + 100)
        , arrivals_(make_workload(sc.load, s.capacity(), s.entries, s.seed))
    {
        make_agents();
        make_entries();
    }

    run_result run();

  private:
    // set-up
    void make_agents();
    void make_entries();
    void schedule_faults();

    // clients
    void submit(std::size_t arrival);
    void end_job(std::size_t arrival, job_end end);

    // entries
    void dispatch(unsigned e);
    void send_demands(unsigned e);
    void tick(unsigned e);
    void terminate_job(unsigned e, job_key key, job_end end);
    void on_report(unsigned e, unsigned a, const held_start& start,
                   task_outcome outcome, duration run_time);
    void on_refusal(unsigned e, unsigned a, const held_start& start);
    void on_grant(unsigned e, const slot_grant& grant, unsigned a);
    void on_agent_lost(unsigned e, unsigned a);

    // agents
    void on_start(unsigned a, const held_start& start);
    void on_cancel(unsigned a,
                   const std::set<std::pair<unsigned, task_ref>>& c);
    void on_demand(unsigned a, unsigned e, const demand_report& demand,
                   uint64_t version);
    void start_run(unsigned a, const held_start& start);
    void end_run(unsigned a, const held_start& start);
    void abandon(unsigned a, const held_start& start);
    void end_abandoned(unsigned a);
    void start_queued(unsigned a);
    void update_orphaned_tasks(unsigned a);
    void release(unsigned a, const held_start& start);
    void refuse(unsigned a, const held_start& start);
    void report(unsigned a, const held_start& start, task_outcome outcome,
                duration run_time);
    void rebalance(unsigned a);

    // faults
    bool fault_is_on() const;
    bool is_stale(const held_start& start) const
    {
        return version_.carries_deadline && start.deadline <= clock_.now();
    }
    void cancel_waiting_jobs();
    void fail_entry(unsigned e);
    void fail_agent(unsigned a);

    const job_arrival& arrival_of(job_key key) const
    {
        return arrivals_[key.value()];
    }

    const site& site_;
    const scenario& scenario_;
    const policy_version& version_;
    event_heap clock_;
    random_source random_;
    std::vector<job_arrival> arrivals_;
    std::vector<std::unique_ptr<agent_model>> agents_;
    std::vector<entry_model> entries_;
    run_result result_;
    duration useful_work_{};
};

// set-up

void simulation::make_agents()
{
    for (const double speed : site_.speeds)
    {
        agents_.push_back(std::make_unique<agent_model>(
            site_.slots, version_.queue_allowance, agents_.size() + 1));
        agents_.back()->speed = speed;
    }
}

void simulation::make_entries()
{
    for (unsigned e = 0; e < site_.entries; ++e)
    {
        entries_.emplace_back();
        auto options = version_.options;
        options.seed = site_.seed * 1000 + e;
        options.entries = site_.entries;
        entries_[e].policy = version_.make(options);
        for (unsigned a = 0; a < agents_.size(); ++a)
        {
            target_offer offer;
            offer.agent = agent_id(a);
            offer.target = target_name("t" + std::to_string(a));
            offer.services = {service_name("pall-booking")};
            offer.slots = site_.slots;
            offer.one_way_delay = site_.between_processes;
            entries_[e].policy->put_target(offer, clock_.now());
            agents_[a]->credits.add_entry(entry_id(e));
            entries_[e].reporters.insert_or_assign(
                a, demand_reporter(options.weights.waste));
        }
    }
}

void simulation::schedule_faults()
{
    const auto from = scenario_.fault_from;
    switch (scenario_.fault)
    {
    case fault_kind::cancellation:
        clock_.after(from, [this] { cancel_waiting_jobs(); });
        break;
    case fault_kind::entry_lost:
        clock_.after(from, [this] { fail_entry(0); });
        break;
    case fault_kind::rack_lost:
        for (unsigned a = 0; a < rack_size; ++a)
        {
            clock_.after(from, [this, a] { fail_agent(a); });
        }
        break;
    default:
        break;
    }
}

run_result simulation::run()
{
    for (std::size_t i = 0; i < arrivals_.size(); ++i)
    {
        const auto& it = arrivals_[i];
        job_outcome out;
        out.patience = it.patience;
        out.entry = it.entry;
        out.always_fails = it.always_fails;
        out.sent = it.at;
        out.ideal = ideal_response(it, site_);
        out.tasks = it.sizes.size();
        for (const auto size : it.sizes)
        {
            out.size += size;
        }
        result_.jobs.push_back(out);
        clock_.after(it.at - time_point{}, [this, i] { submit(i); });
    }
    schedule_faults();
    for (unsigned a = 0; a < agents_.size(); ++a)
    {
        rebalance(a);
    }
    for (unsigned e = 0; e < entries_.size(); ++e)
    {
        tick(e);
    }
    const auto length = scenario_.load.length;
    clock_.run_until(time_point{} + length + patience_classes.back().wait +
                     10s);
    const auto measured = std::chrono::duration<double>(length - warm_up);
    result_.goodput = std::chrono::duration<double>(useful_work_).count() /
                      (measured.count() * site_.capacity());
    return std::move(result_);
}

// clients

void simulation::submit(std::size_t arrival)
{
    auto& out = result_.jobs[arrival];
    if (!entries_[out.entry].alive)
    {
        const auto elapsed = clock_.now() - time_point{} - scenario_.fault_from;
        if (elapsed < loss_detection) // load balancer still selects the entry
        {
            out.end = job_end::entry_lost;
            return;
        }
        out.entry = 1 + static_cast<unsigned>(arrival % (site_.entries - 1));
    }
    const auto e = out.entry;
    clock_.after(
        site_.to_clients,
        [this, arrival, e]
        {
            auto& entry = entries_[e];
            if (!entry.alive)
            {
                result_.jobs[arrival].end = job_end::entry_lost;
                return;
            }
            const auto& it = arrivals_[arrival];
            job_request request;
            request.key = job_key(arrival);
            request.service = service_name("pall-booking");
            request.caller = caller_name("caller");
            request.wait = patience_classes[it.patience].wait;
            for (const auto declared : it.declared)
            {
                request.tasks.push_back({declared});
            }
            const auto decision = entry.policy->admit(request, clock_.now());
            if (decision.refusal)
            {
                end_job(arrival, job_end::refused);
                return;
            }
            entry.jobs[request.key] = {arrival, it.sizes.size(), clock_.now()};
            dispatch(e);
        });
}

void simulation::end_job(std::size_t arrival, job_end end)
{
    auto& out = result_.jobs[arrival];
    out.end = end;
    out.response = clock_.now() + site_.to_clients - out.sent;
    const auto elapsed = clock_.now() - time_point{};
    if (end == job_end::complete)
    {
        result_.messages.useful_starts += out.tasks;
        if (elapsed >= warm_up && elapsed <= scenario_.load.length)
        {
            useful_work_ += out.size;
        }
    }
}

// entries

void simulation::dispatch(unsigned e)
{
    auto& entry = entries_[e];
    for (const auto& it : entry.policy->assign(clock_.now()))
    {
        ++result_.messages.starts;
        const held_start start{e, it.task, it.deadline};
        clock_.after(site_.between_processes, [this, a = index_of(it.agent),
                                               start] { on_start(a, start); });
    }
    if (version_.uses_credits)
    {
        send_demands(e);
    }
}

void simulation::send_demands(unsigned e)
{
    auto& entry = entries_[e];
    for (unsigned a = 0; a < agents_.size(); ++a)
    {
        if (entry.lost_agents.count(a) != 0)
        {
            continue;
        }
        const auto demand = entry.policy->demand(agent_id(a), clock_.now());
        const auto version = entry.grants[a].version;
        if (entry.reporters[a].should_send(demand, entry.grants[a],
                                           clock_.now()))
        {
            ++result_.messages.control;
            clock_.after(site_.between_processes, [this, a, e, demand, version]
                         { on_demand(a, e, demand, version); });
        }
    }
}

void simulation::tick(unsigned e)
{
    auto& entry = entries_[e];
    if (!entry.alive)
    {
        return;
    }
    for (const auto key : entry.policy->overdue(clock_.now()))
    {
        terminate_job(e, key, job_end::late);
    }
    dispatch(e);
    clock_.after(tick_period, [this, e] { tick(e); });
}

void simulation::terminate_job(unsigned e, job_key key, job_end end)
{
    auto& entry = entries_[e];
    const auto it = entry.jobs.find(key);
    if (it == entry.jobs.end())
    {
        return;
    }
    end_job(it->second.arrival, end);
    entry.jobs.erase(it);
    std::map<unsigned, std::set<std::pair<unsigned, task_ref>>> by_agent;
    for (const auto& a : entry.policy->remove_job(key))
    {
        by_agent[index_of(a.agent)].insert({e, a.task});
    }
    for (const auto& [a, starts] : by_agent)
    {
        result_.messages.cancels += version_.cancels ? 1 : 0;
        if (version_.cancels)
        {
            clock_.after(site_.between_processes, [this, a = a, starts = starts]
                         { on_cancel(a, starts); });
        }
    }
}

void simulation::on_report(unsigned e, unsigned a, const held_start& start,
                           task_outcome outcome, duration run_time)
{
    auto& entry = entries_[e];
    const auto it = entry.jobs.find(start.task.job);
    if (!entry.alive || it == entry.jobs.end())
    {
        ++result_.messages.unused_answers;
    }
    if (!entry.alive)
    {
        return;
    }
    entry.policy->on_outcome(start.task, agent_id(a), outcome, run_time,
                             clock_.now());
    if (it != entry.jobs.end())
    {
        if (outcome != task_outcome::answered)
        {
            terminate_job(e, start.task.job,
                          outcome == task_outcome::failed ? job_end::failed
                                                          : job_end::late);
        }
        else if (--it->second.unanswered == 0)
        {
            const auto& c =
                patience_classes[arrival_of(start.task.job).patience];
            const bool in_time = clock_.now() - it->second.admitted <= c.wait;
            end_job(it->second.arrival,
                    in_time ? job_end::complete : job_end::late);
            entry.jobs.erase(it);
            entry.policy->remove_job(start.task.job);
        }
    }
    dispatch(e);
}

void simulation::on_refusal(unsigned e, unsigned a, const held_start& start)
{
    ++result_.messages.refusals;
    if (entries_[e].alive)
    {
        entries_[e].policy->on_not_run(start.task, agent_id(a), clock_.now());
        dispatch(e);
    }
}

void simulation::on_grant(unsigned e, const slot_grant& grant, unsigned a)
{
    auto& entry = entries_[e];
    if (!entry.alive || grant.version <= entry.grants[a].version)
    {
        return;
    }
    entry.grants[a] = grant;
    entry.policy->set_grant(agent_id(a), grant.credits);
    dispatch(e);
}

void simulation::on_agent_lost(unsigned e, unsigned a)
{
    auto& entry = entries_[e];
    entry.lost_agents.insert(a);
    for (const auto& task : entry.policy->remove_target(agent_id(a)))
    {
        ++result_.messages.lost_starts;
        terminate_job(e, task.job, job_end::failed);
    }
    dispatch(e);
}

// agents

void simulation::on_start(unsigned a, const held_start& start)
{
    auto& agent = *agents_[a];
    if (!agent.alive)
    {
        return;
    }
    const auto held = ++agent.unfinished[start.entry];
    agent.credits.set_running(entry_id(start.entry), held);
    const bool runs = agent.running < site_.slots;
    const bool waits = version_.queue == agent_queue::unbounded ||
                       agent.queue.size() < version_.queue_allowance;
    if (is_stale(start) || (!runs && !waits))
    {
        refuse(a, start);
    }
    else if (runs)
    {
        start_run(a, start);
    }
    else
    {
        agent.queue.push_back(start);
    }
}

void simulation::on_cancel(unsigned a,
                           const std::set<std::pair<unsigned, task_ref>>& c)
{
    auto& agent = *agents_[a];
    std::deque<held_start> previous_queue;
    std::swap(previous_queue, agent.queue);
    for (const auto& it : previous_queue)
    {
        if (c.count(it.key()) != 0)
        {
            refuse(a, it);
        }
        else
        {
            agent.queue.push_back(it);
        }
    }
}

void simulation::on_demand(unsigned a, unsigned e, const demand_report& demand,
                           uint64_t version)
{
    auto& agent = *agents_[a];
    if (!agent.alive || agent.removed.count(e) != 0)
    {
        return;
    }
    agent.credits.set_demand(entry_id(e), demand);
    agent.credits.confirm(entry_id(e), version, demand.in_flight);
    rebalance(a);
}

void simulation::start_run(unsigned a, const held_start& start)
{
    auto& agent = *agents_[a];
    ++agent.running;
    const auto& job = arrival_of(start.task.job);
    const auto size = job.sizes[start.task.task.value()];
    const bool on = fault_is_on();
    const bool slow =
        on && scenario_.fault == fault_kind::slow_target && a == slow_target;
    const auto run_time =
        duration(static_cast<int64_t>(static_cast<double>(size.count()) /
                                      agent.speed * (slow ? slow_factor : 1)));
    const auto until_deadline =
        std::max(start.deadline - clock_.now(), duration::zero());
    if (on && scenario_.fault == fault_kind::hang && a == 0)
    {
        clock_.after(until_deadline,
                     [this, a, start, until_deadline]
                     {
                         report(a, start, task_outcome::timed_out,
                                until_deadline);
                         end_run(a, start);
                     });
        return;
    }
    const bool fails_fast =
        on && scenario_.fault == fault_kind::fast_failure && a == 0;
    if (fails_fast || job.always_fails)
    {
        const auto takes = fails_fast ? fast_failure_time : failing_run_time;
        clock_.after(takes,
                     [this, a, start, takes]
                     {
                         report(a, start, task_outcome::failed, takes);
                         end_run(a, start);
                     });
        return;
    }
    const bool in_time = run_time <= until_deadline;
    if (!in_time) // the agent times out, the target runs on
    {
        clock_.after(until_deadline, [this, a, start] { abandon(a, start); });
    }
    clock_.after(run_time,
                 [this, a, start, run_time, in_time]
                 {
                     if (in_time)
                     {
                         report(a, start, task_outcome::answered, run_time);
                         end_run(a, start);
                     }
                     else
                     {
                         end_abandoned(a);
                     }
                 });
}

// Reports to the entry that the deadline has passed. The slot stays occupied
// until the target ends the run.
void simulation::abandon(unsigned a, const held_start& start)
{
    auto& agent = *agents_[a];
    if (!agent.alive)
    {
        return;
    }
    ++agent.abandoned;
    release(a, start);
    report(a, start, task_outcome::timed_out, duration::zero());
}

void simulation::end_abandoned(unsigned a)
{
    auto& agent = *agents_[a];
    if (!agent.alive)
    {
        return;
    }
    --agent.running;
    --agent.abandoned;
    update_orphaned_tasks(a);
    rebalance(a);
    start_queued(a);
}

void simulation::end_run(unsigned a, const held_start& start)
{
    auto& agent = *agents_[a];
    if (!agent.alive)
    {
        return;
    }
    --agent.running;
    release(a, start);
    start_queued(a);
}

void simulation::start_queued(unsigned a)
{
    auto& agent = *agents_[a];
    while (!agent.queue.empty() && agent.running < site_.slots)
    {
        const auto next = agent.queue.front();
        agent.queue.pop_front();
        if (is_stale(next))
        {
            refuse(a, next);
        }
        else
        {
            start_run(a, next);
        }
    }
}

// Updates the number of slots that are occupied by starts of removed entries or
// by abandoned starts.
void simulation::update_orphaned_tasks(unsigned a)
{
    auto& agent = *agents_[a];
    uint32_t orphaned_tasks = agent.abandoned;
    for (const auto e : agent.removed)
    {
        orphaned_tasks += agent.unfinished[e];
    }
    agent.credits.set_orphaned_tasks(orphaned_tasks);
}

// Removes a start from the agent's unfinished starts.
void simulation::release(unsigned a, const held_start& start)
{
    auto& agent = *agents_[a];
    const auto left = --agent.unfinished[start.entry];
    if (agent.removed.count(start.entry) == 0)
    {
        agent.credits.set_running(entry_id(start.entry), left);
    }
    update_orphaned_tasks(a);
    rebalance(a);
}

void simulation::refuse(unsigned a, const held_start& start)
{
    clock_.after(site_.between_processes,
                 [this, a, start] { on_refusal(start.entry, a, start); });
    release(a, start);
}

void simulation::report(unsigned a, const held_start& start,
                        task_outcome outcome, duration run_time)
{
    if (!agents_[a]->alive)
    {
        return;
    }
    clock_.after(site_.between_processes, [this, a, start, outcome, run_time]
                 { on_report(start.entry, a, start, outcome, run_time); });
}

void simulation::rebalance(unsigned a)
{
    if (!version_.uses_credits || !agents_[a]->alive)
    {
        return;
    }
    for (const auto& grant : agents_[a]->credits.rebalance(clock_.now()))
    {
        ++result_.messages.control;
        const auto e = static_cast<unsigned>(grant.entry.value());
        clock_.after(site_.between_processes,
                     [this, e, grant, a] { on_grant(e, grant, a); });
    }
}

// faults

bool simulation::fault_is_on() const
{
    const auto elapsed = clock_.now() - time_point{};
    return elapsed >= scenario_.fault_from && elapsed < scenario_.fault_to;
}

void simulation::cancel_waiting_jobs()
{
    for (unsigned e = 0; e < entries_.size(); ++e)
    {
        std::vector<job_key> chosen;
        for (const auto& [key, job] : entries_[e].jobs)
        {
            if (entries_[e].policy->is_waiting(key) &&
                random_.uniform() < cancelled_share)
            {
                chosen.push_back(key);
            }
        }
        for (const auto key : chosen)
        {
            terminate_job(e, key, job_end::cancelled);
        }
    }
}

void simulation::fail_entry(unsigned e)
{
    auto& entry = entries_[e];
    entry.alive = false;
    for (const auto& [key, job] : entry.jobs)
    {
        end_job(job.arrival, job_end::entry_lost);
    }
    entry.jobs.clear();
    clock_.after(loss_detection,
                 [this, e]
                 {
                     for (unsigned a = 0; a < agents_.size(); ++a)
                     {
                         auto& agent = *agents_[a];
                         agent.removed.insert(e);
                         agent.credits.remove_entry(entry_id(e));
                         update_orphaned_tasks(a);
                         rebalance(a);
                     }
                 });
}

void simulation::fail_agent(unsigned a)
{
    agents_[a]->alive = false;
    for (unsigned e = 0; e < entries_.size(); ++e)
    {
        clock_.after(loss_detection, [this, e, a] { on_agent_lost(e, a); });
    }
}

} // namespace

uint64_t message_counts::wasted() const
{
    return 2 * refusals + 2 * unused_answers + lost_starts + cancels;
}

duration ideal_response(const job_arrival& job, const site& s)
{
    duration longest{};
    duration all{};
    for (const auto size : job.sizes)
    {
        longest = std::max(longest, size);
        all += size;
    }
    const double run =
        std::max(static_cast<double>(longest.count()) / s.max_speed(),
                 static_cast<double>(all.count()) / s.capacity());
    return 2 * s.to_clients + 2 * s.between_processes +
           duration(static_cast<int64_t>(run));
}

run_result simulate(const site& s, const scenario& sc,
                    const policy_version& version)
{
    return simulation(s, sc, version).run();
}

} // namespace agatebank::experiment
