#pragma once

#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_scheduler.hpp>
#include <agatebank/fleet/run_scheduler.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace agatebank
{

using namespace std::chrono_literals;

/// Time for which the runs of a lost target may go on.
constexpr duration lease_left = 1s;

/// @brief Load and faults of a replay: half of the Quetzal deployment, with a
/// rack of 6 targets of 32 cores among 38.
struct replay_load
{
    double short_rate = 1;   ///< relative to 103 jobs/s
    double other_rate = 1;   ///< of medium and long jobs
    double rack_share = 0.6; ///< of the short jobs, from 2 s to 7 s
    duration half_lost_at{}; ///< half of the rack crashes; 0: never
    double true_factor = 2;  ///< on run times outside the rack
};

/// @brief An alternative to compare.
struct replay_policy
{
    locality_rule rule;
    double configured_factor = 2;
    /// load reports for which a job whose rack is busy stays unplaced
    int max_skipped_offers = 0;
};

/// @brief Jobs of the 5 s in which many name the rack.
struct replay_share
{
    int jobs = 0;
    int on_time = 0;
    double value = 0;

    double on_time_share() const
    {
        return static_cast<double>(on_time) / std::max(1, jobs);
    }
};

struct replay_result
{
    replay_share rack; ///< jobs that name the rack
    replay_share others;
    job_scheduler_counts counts;
    std::string decisions; ///< target and job of all orders

    void add(const replay_result& r)
    {
        for (const auto part : {&replay_result::rack, &replay_result::others})
        {
            (this->*part).jobs += (r.*part).jobs;
            (this->*part).on_time += (r.*part).on_time;
            (this->*part).value += (r.*part).value;
        }
        counts.locality_waits += r.counts.locality_waits;
        counts.locality_waits_given_up += r.counts.locality_waits_given_up;
        counts.locality_elsewhere += r.counts.locality_elsewhere;
        counts.locality_granted_ms += r.counts.locality_granted_ms;
        counts.locality_waited_ms += r.counts.locality_waited_ms;
        counts.locality_gained_ms += r.counts.locality_gained_ms;
        counts.locality_lost_ms += r.counts.locality_lost_ms;
    }
};

/// @brief Replays a load with the schedulers of entries and agents on a virtual
/// clock. Targets are modelled: their runs take the job's work over the
/// target's speed, times the factor outside the rack.
class locality_replay
{
  public:
    locality_replay(const replay_load& load, const replay_policy& policy,
                    uint64_t seed)
        : load_(load), policy_(policy), random_(seed)
    {
        for (std::size_t a = 0; a < agent_count; ++a)
        {
            speeds_.push_back(std::exp(normal(0.2)));
            targets_.emplace_back();
            agents_.push_back(std::make_unique<run_scheduler>(agent_hooks(a)));
            agents_[a]->set_capacity(capacity, now_);
            agents_[a]->set_accepting_orders(true, now_);
        }
        for (std::size_t e = 0; e < entry_count; ++e)
        {
            entries_.push_back(std::make_unique<job_scheduler>(
                job_scheduler_options{1100ms,
                                      policy.configured_factor,
                                      {},
                                      {},
                                      true,
                                      policy.rule},
                entry_hooks(e)));
            for (std::size_t a = 0; a < agent_count; ++a)
            {
                entries_[e]->put_target(agent_incarnation(a), profile(a), now_);
            }
            every(40ms, [this, e] { entries_[e]->tick(now_); });
        }
        for (std::size_t a = 0; a < agent_count; ++a)
        {
            at(duration(1000 * static_cast<int64_t>(a)),
               [this, a]
               {
                   report_load(a);
                   every(50ms, [this, a] { report_load(a); });
               });
        }
    }

    replay_result run()
    {
        arrive({"short", 8, 60ms, 0}, 103 * load_.short_rate);
        arrive({"medium", 2, 200ms, 0}, 300 * load_.other_rate);
        arrive({"long", 4, 900ms, 0}, 18.8 * load_.other_rate);
        if (load_.half_lost_at.count() > 0)
        {
            for (std::size_t a = 0; a < rack_size / 2; ++a)
            {
                at(load_.half_lost_at, [this, a] { lose_target(a); });
            }
        }
        while (!events_.empty() && now_ < begin + 14s)
        {
            const auto it = events_.begin();
            now_ = it->first;
            const auto fn = std::move(it->second);
            events_.erase(it);
            fn();
        }
        for (const auto& it : entries_)
        {
            replay_result r;
            r.counts = it->counts();
            result_.add(r);
        }
        return result_;
    }

  private:
    static constexpr time_point begin{1h};
    static constexpr std::size_t agent_count = 38;
    static constexpr std::size_t rack_size = 6;
    static constexpr std::size_t entry_count = 3;
    static constexpr resources capacity{32000, 100000, 0};
    static constexpr duration caller_latency = 10ms;

    using event_fn = std::function<void()>;

    struct job_kind
    {
        std::string name;
        uint32_t tasks = 1;
        duration run{};
        uint32_t priority = 0;
    };

    struct job_model
    {
        double work = 1;
        duration run{};
        bool names_rack = false;
        bool counts = false; ///< arrives in the 5 s that are compared
        time_point arrived;
        duration objective{};
    };

    struct run_model
    {
        time_point started;
        time_point end;
    };

    struct target_model
    {
        std::map<run_id, run_model> runs;
        std::map<std::size_t, uint64_t> last_order; ///< by entry
        bool lost = false;
        uint64_t last_end = 0;
    };

    void at(duration delay, event_fn fn)
    {
        events_.emplace(now_ + delay, std::move(fn));
    }

    void every(duration period, const event_fn& fn)
    {
        at(period,
           [this, period, fn]
           {
               fn();
               every(period, fn);
           });
    }

    double normal(double deviation)
    {
        return std::normal_distribution<double>(0, deviation)(random_);
    }

    target_profile profile(std::size_t a) const
    {
        target_profile p;
        p.target = "t" + std::to_string(a);
        p.service = service_name("desk");
        p.capacity = capacity;
        p.kind = "k";
        p.labels = {"rack" + std::to_string(a / rack_size)};
        return p;
    }

    // jobs

    // Schedules the jobs of a kind as a Poisson process.
    void arrive(const job_kind& kind, double rate)
    {
        if (rate <= 0)
        {
            return;
        }
        for (double s = 0; s < 8;
             s += std::exponential_distribution<double>(rate)(random_))
        {
            job_model job;
            job.run = kind.run;
            job.work = std::exp(normal(0.3));
            job.counts = s >= 2 && s < 7;
            job.names_rack = job.counts && kind.name == "short" &&
                             std::uniform_real_distribution<double>()(random_) <
                                 load_.rack_share;
            const auto when = scale(1s, s);
            job.arrived = begin + when;
            job.objective =
                60ms + scale(kind.run,
                             1.6 * job.work * slowest_task_ratio(kind.tasks));
            const auto key = job_key(jobs_.size() + 1);
            jobs_.push_back(job);
            const auto declared =
                scale(kind.run, job.work * std::exp(normal(0.35)));
            job_submission s_out;
            s_out.id = "j" + std::to_string(key.value());
            s_out.matched_route.name = route_name(kind.name);
            s_out.matched_route.service = service_name("desk");
            s_out.matched_route.max_attempts = 3;
            s_out.matched_route.stretch = 1.6;
            s_out.matched_route.added_latency = 60ms;
            s_out.matched_route.priority = kind.priority;
            step_plan step;
            step.tasks = kind.tasks;
            step.task_resources = {3600, 100, 0};
            step.declared_run_time = declared;
            step.data_rack = job.names_rack ? "rack0" : "";
            s_out.plan.steps = {step};
            s_out.deadline = 3s;
            at(when + caller_latency,
               [this, key, s_out] { offer(key, s_out, 0); });
        }
    }

    // Submits a job, or keeps it until the rack has room or enough offers were
    // skipped.
    void offer(job_key key, job_submission submission, int skipped)
    {
        auto& entry = *entries_[key.value() % entry_count];
        const auto& step = submission.plan.steps[0];
        if (skipped < policy_.max_skipped_offers && !step.data_rack.empty() &&
            free_tasks(entry, step) < step.tasks)
        {
            constexpr duration offer_period = 50ms; // of the load reports
            submission.matched_route.added_latency -= offer_period;
            submission.deadline -= offer_period;
            at(offer_period, [this, key, submission, skipped]
               { offer(key, submission, skipped + 1); });
            return;
        }
        entry.admit(key, submission, now_);
    }

    static uint32_t free_tasks(const job_scheduler& entry,
                               const step_plan& step)
    {
        int64_t n = 0;
        for (const auto& [agent, t] : entry.targets())
        {
            if (t.load().accepts_work && t.has_label(step.data_rack))
            {
                n += std::max<int64_t>(0, capacity.cpu_millis -
                                              t.cpu_demand_millis()) /
                     step.task_resources.cpu_millis;
            }
        }
        return static_cast<uint32_t>(n);
    }

    void finish(job_key key, const job_outcome& outcome)
    {
        const auto& job = jobs_[key.value() - 1];
        if (!job.counts)
        {
            return;
        }
        auto& share = job.names_rack ? result_.rack : result_.others;
        const auto took = now_ + caller_latency - job.arrived;
        const bool done = outcome.result == job_result::succeeded;
        const bool on_time = done && took <= job.objective;
        const bool useful = done && took <= 3 * job.objective;
        ++share.jobs;
        share.on_time += on_time ? 1 : 0;
        share.value += on_time ? 1 : useful ? 0.2 : 0;
    }

    // entries

    job_scheduler_hooks entry_hooks(std::size_t e)
    {
        job_scheduler_hooks h;
        h.send = [this, e](agent_incarnation agent, const run_batch& b)
        {
            const auto a = static_cast<std::size_t>(agent.value());
            result_.decisions += b.job + ":" + std::to_string(a) + " ";
            at(1ms,
               [this, e, a, b]
               {
                   targets_[a].last_order[e] = b.orders.back().id.value();
                   agents_[a]->on_batch(order_source(e), b, now_);
               });
        };
        h.cancel =
            [this, e](agent_incarnation agent, const std::vector<order_id>& ids)
        {
            const auto a = static_cast<std::size_t>(agent.value());
            at(1ms, [this, e, a, ids]
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

    // agents and targets

    void report_load(std::size_t a)
    {
        auto load = agents_[a]->load(now_);
        load.accepts_work = !targets_[a].lost;
        for (std::size_t e = 0; e < entry_count; ++e)
        {
            load.last_order_received = targets_[a].last_order[e];
            at(1ms, [this, e, a, load]
               { entries_[e]->set_load(agent_incarnation(a), load, now_); });
        }
        agents_[a]->tick(now_);
    }

    run_scheduler_hooks agent_hooks(std::size_t a)
    {
        run_scheduler_hooks h;
        h.start = [this, a](const run_id& id, const std::string&)
        {
            at(1ms, [this, a, id] { start_run(a, id); });
        };
        h.stop = [this, a](const run_id& id)
        {
            at(2ms,
               [this, a, id]
               {
                   agents_[a]->on_stop_answer(id, true, now_);
                   end_run(a, id, ended_run_status::stopped);
               });
        };
        h.report = [this, a](order_source s, const order_result& end)
        {
            at(1ms,
               [this, a, s, end]
               {
                   entries_[static_cast<std::size_t>(s.value())]->on_end(
                       agent_incarnation(a), end, now_);
               });
        };
        h.report_loss = [](const std::vector<lost_run>&) {
        };
        h.log = [](const log_record&) {
        };
        return h;
    }

    void start_run(std::size_t a, const run_id& id)
    {
        if (targets_[a].lost)
        {
            return;
        }
        const auto& job =
            jobs_[std::stoul(id.task.substr(1, id.task.find('.'))) - 1];
        const double factor =
            job.names_rack && a >= rack_size ? load_.true_factor : 1;
        const auto run = scale(job.run, job.work * std::exp(normal(0.15)) *
                                            factor / speeds_[a]);
        targets_[a].runs[id] = {now_, now_ + run};
        agents_[a]->on_start_answer(id, start_answer::accepted, now_);
        at(run, [this, a, id] { end_run(a, id, ended_run_status::done); });
    }

    void end_run(std::size_t a, const run_id& id, ended_run_status status)
    {
        auto& t = targets_[a];
        if (t.runs.erase(id) == 0)
        {
            return;
        }
        lease_answer answer;
        answer.ended = {{end_position(++t.last_end), id, status}};
        for (const auto& [running, it] : t.runs)
        {
            answer.running.push_back(
                {running, static_cast<int>(100 * (now_ - it.started) /
                                           (it.end - it.started))});
        }
        agents_[a]->on_listing(answer, now_, now_);
    }

    void lose_target(std::size_t a)
    {
        targets_[a].lost = true;
        targets_[a].runs.clear();
        agents_[a]->set_accepting_orders(false, now_);
        agents_[a]->on_target_unreachable(lease_left, now_);
        report_load(a);
    }

    replay_load load_;
    replay_policy policy_;
    time_point now_ = begin;
    std::mt19937_64 random_;
    std::multimap<time_point, event_fn> events_;
    std::vector<double> speeds_;
    std::vector<target_model> targets_;
    std::vector<std::unique_ptr<run_scheduler>> agents_;
    std::vector<std::unique_ptr<job_scheduler>> entries_;
    std::vector<job_model> jobs_;
    replay_result result_;
};

} // namespace agatebank
