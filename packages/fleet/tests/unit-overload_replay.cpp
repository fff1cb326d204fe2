#include "overload_replay.hpp"
#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_scheduler.hpp>
#include <agatebank/fleet/run_scheduler.hpp>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <set>
#include <sstream>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr time_point start{1h};
constexpr duration listing_period = 50ms;
constexpr duration entry_tick_period = 20ms;
constexpr duration caller_patience = 1500ms;
constexpr double speeds[] = {0.8, 1, 1.25};

struct model_run
{
    uint32_t run = 0;
    time_point since;
    duration length{};
    bool hangs = false;
};

struct model_target
{
    std::map<std::string, model_run> running;
    std::map<std::string, uint32_t> fenced;
    std::vector<ended_run> ended;
    uint64_t last_end = 0;
};

struct model_job
{
    const replay_kind* kind = nullptr;
    double work = 1; ///< relative to the mean of its kind
    time_point arrived;
    duration objective{};
    bool has_run = false;
    int entry = 0;
};

class replay_simulation
{
  public:
    explicit replay_simulation(const replay_options& options)
        : options_(options)
    {
        result_.runs_by_target.resize(std::size_t(options.targets));
        targets_.resize(std::size_t(options.targets));
        for (int e = 0; e < options_.entries; ++e)
        {
            entries_.push_back(std::make_unique<job_scheduler>(
                job_scheduler_options{1100ms, 1, start, {}, options_.shed_load},
                entry_hooks(e)));
        }
        for (int a = 0; a < options_.targets; ++a)
        {
            agents_.push_back(std::make_unique<run_scheduler>(
                agent_hooks(a), run_scheduler_options{options_.returns,
                                                      options_.report_hangs}));
            agents_[a]->set_capacity(capacity(), now_);
            agents_[a]->set_accepting_orders(true, now_);
            for (int e = 0; e < options_.entries; ++e)
            {
                target_profile p;
                p.target = std::to_string(a);
                p.service = service_name("desk");
                p.capacity = capacity();
                p.kind = std::to_string(a % 3);
                entries_[e]->put_target(agent_incarnation(a), p, now_);
                report_load(e, a);
            }
            list_again(a);
        }
        for (int e = 0; e < options_.entries; ++e)
        {
            tick_again(e);
        }
    }

    replay_result run()
    {
        for (const auto& kind : options_.kinds)
        {
            schedule_arrivals(kind);
        }
        while (!events_.empty() && now_ < start + options_.length + 4s)
        {
            const auto it = events_.begin();
            now_ = it->first;
            const auto fn = std::move(it->second);
            events_.erase(it);
            fn();
        }
        for (const auto& it : entries_)
        {
            result_.returned += it->counts().returned_early;
            result_.moved += it->counts().moved_orders;
            result_.shed += it->counts().shed;
        }
        count_largest();
        return result_;
    }

  private:
    void at(duration delay, std::function<void()> fn)
    {
        events_.emplace(now_ + delay, std::move(fn));
    }

    static double uniform(std::mt19937_64& random)
    {
        return std::uniform_real_distribution<>(0, 1)(random);
    }

    static double log_normal(double deviation, std::mt19937_64& random)
    {
        return std::exp(std::normal_distribution<>(0, deviation)(random) -
                        deviation * deviation / 2);
    }

    // Draws that belong to one run do not depend on the order of events, so
    // that replays with different decisions serve the same jobs.
    std::mt19937_64 random_of(const std::string& name) const
    {
        return std::mt19937_64(std::hash<std::string>()(name) ^ options_.seed);
    }

    resources capacity() const
    {
        return {options_.target_millis, 65536, 0};
    }

    void decide(const std::string& text)
    {
        result_.decisions.push_back(to_ms_text(now_ - start) + ": " + text);
    }

    bool is_up(int a) const
    {
        return !options_.is_up || options_.is_up(a, now_ - start);
    }

    // Passes an event to an entry as soon as its process runs.
    void at_entry(int e, duration delay, std::function<void()> fn)
    {
        at(delay,
           [this, e, fn = std::move(fn)]
           {
               if (options_.entry_pause)
               {
                   at(options_.entry_pause(e, now_ - start), fn);
                   return;
               }
               fn();
           });
    }

    // jobs

    void schedule_arrivals(const replay_kind& kind)
    {
        auto random = random_of(kind.name);
        for (duration t{}; t < options_.length;)
        {
            const bool burst =
                t >= options_.burst_begin && t < options_.burst_end;
            std::exponential_distribution<> gap(kind.rate *
                                                (burst ? kind.burst : 1));
            const auto before = t;
            t += scale(1s, gap(random));
            if (before < options_.burst_begin && t >= options_.burst_begin)
            {
                t = options_.burst_begin;
            }
            const auto job_seed = random();
            at(t, [this, &kind, job_seed] { submit(kind, job_seed); });
        }
    }

    void submit(const replay_kind& kind, uint64_t job_seed)
    {
        std::mt19937_64 random(job_seed);
        const job_key key(++last_job_);
        model_job job;
        job.kind = &kind;
        job.work =
            log_normal(0.4, random) * (uniform(random) < 0.03 ? 7 : 1) / 1.18;
        job.arrived = now_;
        const auto chain = scale(kind.run_time, job.work);
        job.objective = scale(chain, 1.6) + 60ms;
        jobs_[key] = job;
        job_submission s;
        s.id = "j" + std::to_string(key.value());
        s.matched_route.name = route_name(kind.name);
        s.matched_route.service = service_name("desk");
        s.matched_route.priority = kind.priority;
        s.matched_route.max_attempts = 3;
        s.matched_route.stretch = 1.6;
        s.matched_route.added_latency = 60ms;
        step_plan step;
        step.tasks = kind.tasks;
        step.task_resources = {options_.task_millis, 100, 0};
        step.declared_run_time = scale(chain, log_normal(0.35, random));
        s.plan.steps = {step};
        s.deadline = std::max<duration>(caller_patience, 4 * job.objective);
        const auto e = random() % std::size_t(options_.entries);
        if (!options_.entry_pause)
        {
            entries_[e]->admit(key, std::move(s), now_);
            return;
        }
        jobs_[key].entry = int(e);
        at_entry(int(e), 0ms,
                 [this, e, key, s] { entries_[e]->admit(key, s, now_); });
    }

    void finish(job_key key, const job_outcome& outcome)
    {
        const auto& job = jobs_.at(key);
        decide("answer to j" + std::to_string(key.value()) + " is " +
               std::to_string(int(outcome.result)));
        auto& k = result_.kinds[job.kind->name];
        const double value = 0.3 + 0.7 * job.work;
        const auto took = now_ - job.arrived;
        bool served = false;
        ++k.jobs;
        k.possible_value += value;
        if (outcome.result == job_result::succeeded)
        {
            const bool on_time = took <= job.objective;
            served = took <= 3 * job.objective;
            ++(on_time ? k.on_time : served ? k.late : k.useless);
            k.value += on_time ? value : served ? 0.2 * value : 0;
        }
        else
        {
            const bool not_run = outcome.result == job_result::not_run;
            ++(not_run ? k.refused : k.given_up);
            result_.refused_by_entry[job.entry] += not_run ? 1 : 0;
            result_.false_not_run += not_run && job.has_run ? 1 : 0;
        }
        served_[job.kind->name].emplace_back(job.work, served);
    }

    void count_largest()
    {
        for (auto& [name, jobs] : served_)
        {
            std::sort(jobs.rbegin(), jobs.rend());
            auto& k = result_.kinds[name];
            k.largest_jobs = int(jobs.size() / 10);
            k.largest_served =
                int(std::count_if(jobs.begin(), jobs.begin() + k.largest_jobs,
                                  [](const auto& it) { return it.second; }));
        }
    }

    // entries

    job_scheduler_hooks entry_hooks(int e)
    {
        job_scheduler_hooks h;
        h.send = [this, e](agent_incarnation agent, const run_batch& b)
        {
            const int a = int(agent.value());
            for (const auto& o : b.orders)
            {
                decide("order of task " + std::to_string(o.index) + " of " +
                       b.job + " at target " + std::to_string(a));
            }
            at(2ms,
               [this, e, a, b]
               {
                   for (const auto& o : b.orders)
                   {
                       auto& last = last_received_[{e, a}];
                       last = std::max(last, o.id.value());
                   }
                   agents_[a]->on_batch(order_source(e), b, now_);
               });
        };
        h.cancel =
            [this, e](agent_incarnation agent, const std::vector<order_id>& ids)
        {
            at(2ms, [this, e, a = int(agent.value()), ids]
               { agents_[a]->on_cancel(order_source(e), ids, now_); });
        };
        h.finish = [this](job_key key, const job_outcome& o)
        {
            finish(key, o);
        };
        h.log = [](const log_record&) {
        };
        return h;
    }

    void tick_again(int e)
    {
        const auto pause = options_.entry_pause
                               ? options_.entry_pause(e, now_ - start)
                               : duration(0);
        at(pause,
           [this, e, pause]
           {
               entries_[e]->on_loop_lag(pause, now_);
               entries_[e]->tick(now_);
               at(entry_tick_period, [this, e] { tick_again(e); });
           });
    }

    void report_load(int e, int a)
    {
        auto load = agents_[a]->load(now_);
        load.accepts_work = is_up(a);
        load.last_order_received = last_received_[{e, a}];
        at_entry(e, 2ms,
                 [this, e, a, load]
                 { entries_[e]->set_load(agent_incarnation(a), load, now_); });
        at(options_.report_period, [this, e, a] { report_load(e, a); });
    }

    // agents and targets

    run_scheduler_hooks agent_hooks(int a)
    {
        run_scheduler_hooks h;
        h.start = [this, a](const run_id& id, const std::string&)
        {
            at(1ms, [this, a, id] { start_run(a, id); });
        };
        h.stop = [this, a](const run_id& id)
        {
            at(1ms,
               [this, a, id]
               {
                   auto& fence = targets_[a].fenced[id.task];
                   fence = std::max(fence, id.run);
                   end_run(a, id, ended_run_status::stopped);
                   agents_[a]->on_stop_answer(id, true, now_);
                   at(2ms, [this, a] { list(a); });
               });
        };
        h.report = [this, a](order_source s, const order_result& end)
        {
            at_entry(int(s.value()), 2ms,
                     [this, a, e = s.value(), end]
                     { entries_[e]->on_end(agent_incarnation(a), end, now_); });
        };
        h.report_loss = [](const std::vector<lost_run>&) {
        };
        h.log = [this](const log_record& r)
        {
            if (r.text.find("order ended as returned") == 0)
            {
                auto& n = returns_[{r.submission, r.task}];
                result_.max_returns_of_task =
                    std::max(result_.max_returns_of_task, ++n);
            }
        };
        return h;
    }

    void start_run(int a, const run_id& id)
    {
        auto& t = targets_[a];
        if (t.fenced[id.task] >= id.run)
        {
            agents_[a]->on_start_answer(id, start_answer::superseded, now_);
            return;
        }
        for (const auto& other : targets_)
        {
            result_.overlaps += other.running.count(id.task) != 0 ? 1 : 0;
        }
        const job_key key(std::stoull(id.task.substr(1)));
        auto& job = jobs_.at(key);
        job.has_run = true;
        auto random = random_of(id.task + "." + std::to_string(id.run));
        model_run r;
        r.run = id.run;
        r.since = now_;
        r.length = scale(job.kind->run_time,
                         job.work * log_normal(0.15, random) / speeds[a % 3]);
        r.hangs =
            options_.hang_share && uniform(random) < options_.hang_share(a);
        t.running[id.task] = r;
        ++result_.runs;
        ++result_.runs_by_target[std::size_t(a)];
        result_.hung_runs += r.hangs ? 1 : 0;
        agents_[a]->on_start_answer(id, start_answer::accepted, now_);
        if (!r.hangs)
        {
            at(r.length,
               [this, a, id] { end_run(a, id, ended_run_status::done); });
        }
    }

    void end_run(int a, const run_id& id, ended_run_status status)
    {
        auto& t = targets_[a];
        const auto it = t.running.find(id.task);
        if (it == t.running.end() || it->second.run != id.run)
        {
            return;
        }
        t.running.erase(it);
        t.ended.push_back({end_position(++t.last_end), id, status});
        at(2ms, [this, a] { list(a); });
    }

    void list_again(int a)
    {
        if (std::exchange(accepted_[a], is_up(a)) != is_up(a))
        {
            agents_[a]->set_accepting_orders(is_up(a), now_);
        }
        list(a);
        at(listing_period, [this, a] { list_again(a); });
    }

    void list(int a)
    {
        auto& t = targets_[a];
        lease_answer answer;
        answer.ended = std::exchange(t.ended, {});
        for (const auto& [task, r] : t.running)
        {
            const double done =
                r.hangs ? 0
                        : double((now_ - r.since).count()) /
                              double(std::max<int64_t>(1, r.length.count()));
            answer.running.push_back(
                {{task, r.run}, std::min(99, int(100 * done))});
        }
        agents_[a]->on_listing(answer, now_, now_);
    }

    replay_options options_;
    time_point now_ = start;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<job_key, model_job> jobs_;
    uint64_t last_job_ = 0;
    std::map<std::string, std::vector<std::pair<double, bool>>> served_;
    std::map<std::pair<int, int>, uint64_t> last_received_;
    std::map<std::pair<std::string, int>, int> returns_;
    std::map<int, bool> accepted_;
    std::vector<model_target> targets_;
    std::vector<std::unique_ptr<run_scheduler>> agents_;
    std::vector<std::unique_ptr<job_scheduler>> entries_;
    replay_result result_;
};

} // namespace

double replay_result::value_share() const
{
    double sum = 0;
    for (const auto& [name, k] : kinds)
    {
        sum += k.value_share();
    }
    return kinds.empty() ? 1 : sum / double(kinds.size());
}

std::string replay_result::text() const
{
    std::ostringstream out;
    out << "value " << value_share() << ", runs " << runs << ", hung "
        << hung_runs << ", returned " << returned << ", moved " << moved
        << ", shed " << shed;
    for (const auto& [name, k] : kinds)
    {
        out << "\n  " << name << ": jobs " << k.jobs << ", on time "
            << k.on_time << ", late " << k.late << ", useless " << k.useless
            << ", refused " << k.refused << ", given up " << k.given_up
            << ", value share " << k.value_share() << ", largest "
            << k.largest_served << " of " << k.largest_jobs;
    }
    return out.str();
}

replay_result& operator+=(replay_result& a, const replay_result& b)
{
    a.overlaps += b.overlaps;
    a.false_not_run += b.false_not_run;
    a.returned += b.returned;
    a.moved += b.moved;
    a.shed += b.shed;
    a.max_returns_of_task =
        std::max(a.max_returns_of_task, b.max_returns_of_task);
    a.hung_runs += b.hung_runs;
    a.runs += b.runs;
    for (const auto& [name, k] : b.kinds)
    {
        auto& sum = a.kinds[name];
        sum.jobs += k.jobs;
        sum.on_time += k.on_time;
        sum.late += k.late;
        sum.useless += k.useless;
        sum.refused += k.refused;
        sum.given_up += k.given_up;
        sum.value += k.value;
        sum.possible_value += k.possible_value;
        sum.largest_jobs += k.largest_jobs;
        sum.largest_served += k.largest_served;
    }
    return a;
}

replay_result replay_days(replay_options options, int days)
{
    replay_result sum;
    for (int i = 0; i < days; ++i)
    {
        ++options.seed;
        sum += replay(options);
    }
    return sum;
}

replay_result replay(const replay_options& options)
{
    return replay_simulation(options).run();
}

} // namespace agatebank
