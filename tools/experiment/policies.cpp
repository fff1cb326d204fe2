#include "policies.hpp"

#include "workload.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace agatebank::experiment
{

namespace
{

using namespace std::chrono_literals;

constexpr duration naive_retry_delay = 10ms;

// The dispatcher of agatebankd.
class design_policy : public entry_policy
{
  public:
    explicit design_policy(const dispatch_options& options)
        : dispatcher_(options)
    {
    }
    void put_target(const target_offer& offer, time_point now) override
    {
        dispatcher_.put_target(offer, now);
    }
    void set_grant(agent_incarnation agent, unsigned grant) override
    {
        dispatcher_.set_grant(agent, grant);
    }
    std::vector<task_ref> remove_target(agent_incarnation agent) override
    {
        return dispatcher_.remove_target(agent);
    }
    admission admit(const job_request& job, time_point now) override
    {
        return dispatcher_.admit(job, now);
    }
    std::vector<assignment> remove_job(job_key job) override
    {
        return dispatcher_.remove_job(job);
    }
    void on_outcome(task_ref task, agent_incarnation agent,
                    task_outcome outcome, duration run_time,
                    time_point now) override
    {
        dispatcher_.on_outcome(task, agent, outcome, run_time, now);
    }
    void on_not_run(task_ref task, agent_incarnation agent,
                    time_point now) override
    {
        dispatcher_.on_not_run(task, agent, now);
    }
    std::vector<assignment> assign(time_point now) override
    {
        return dispatcher_.assign(now);
    }
    std::vector<job_key> overdue(time_point now) const override
    {
        return dispatcher_.overdue(now);
    }
    demand_report demand(agent_incarnation agent, time_point now) const override
    {
        return dispatcher_.demand(agent, now);
    }
    std::size_t waiting_tasks() const override
    {
        return dispatcher_.waiting_tasks();
    }
    bool is_waiting(job_key job) const override
    {
        return dispatcher_.waiting_tasks(job) > 0;
    }

  private:
    dispatcher dispatcher_;
};

// Base of the simple policies: one first-in, first-out queue, no admission
// control and no estimates. Derived classes choose the target.
class simple_policy : public entry_policy
{
  public:
    explicit simple_policy(const dispatch_options& options)
        : random_(options.seed)
    {
    }
    void put_target(const target_offer& offer, time_point) override
    {
        targets_[offer.agent].offer = offer;
    }
    void set_grant(agent_incarnation agent, unsigned grant) override
    {
        const auto it = targets_.find(agent);
        if (it != targets_.end())
        {
            it->second.grant = grant;
        }
    }
    std::vector<task_ref> remove_target(agent_incarnation agent) override
    {
        std::vector<task_ref> out;
        const auto it = targets_.find(agent);
        if (it != targets_.end())
        {
            out.assign(it->second.in_flight.begin(),
                       it->second.in_flight.end());
            targets_.erase(it);
        }
        return out;
    }
    admission admit(const job_request& job, time_point now) override
    {
        admission out;
        out.deadline = now + job.wait;
        jobs_[job.key] = {out.deadline, job.tasks.size(), job.tasks.size()};
        deadlines_.insert({out.deadline, job.key});
        for (uint32_t i = 0; i < job.tasks.size(); ++i)
        {
            queue_.push_back({now, {job.key, task_index(i)}});
        }
        return out;
    }
    std::vector<assignment> remove_job(job_key job) override
    {
        std::vector<assignment> out;
        const auto it = jobs_.find(job);
        if (it == jobs_.end())
        {
            return out;
        }
        for (const auto& [agent, target] : targets_)
        {
            auto task = target.in_flight.lower_bound({job, task_index(0)});
            for (; task != target.in_flight.end() && task->job == job; ++task)
            {
                out.push_back({*task, agent, it->second.deadline});
            }
        }
        std::erase_if(queue_, [&](const auto& w) { return w.task.job == job; });
        deadlines_.erase({it->second.deadline, job});
        jobs_.erase(it);
        return out;
    }
    void on_outcome(task_ref task, agent_incarnation agent, task_outcome,
                    duration, time_point) override
    {
        const auto target = targets_.find(agent);
        if (target != targets_.end())
        {
            target->second.in_flight.erase(task);
        }
        const auto job = jobs_.find(task.job);
        if (job != jobs_.end() && --job->second.unsettled == 0)
        {
            deadlines_.erase({job->second.deadline, task.job});
        }
    }
    void on_not_run(task_ref task, agent_incarnation agent,
                    time_point now) override
    {
        const auto target = targets_.find(agent);
        if (target != targets_.end())
        {
            target->second.in_flight.erase(task);
        }
        const auto job = jobs_.find(task.job);
        if (job != jobs_.end())
        {
            ++job->second.waiting;
            queue_.push_back({now + naive_retry_delay, task});
        }
    }
    std::vector<assignment> assign(time_point now) override
    {
        std::vector<assignment> out;
        while (!queue_.empty() && queue_.front().not_before <= now)
        {
            const auto agent = choose();
            if (!agent)
            {
                break;
            }
            const auto task = queue_.front().task;
            queue_.pop_front();
            auto& job = jobs_.at(task.job);
            --job.waiting;
            targets_.at(*agent).in_flight.insert(task);
            out.push_back({task, *agent, job.deadline});
        }
        return out;
    }
    std::vector<job_key> overdue(time_point now) const override
    {
        std::vector<job_key> out;
        for (const auto& [deadline, job] : deadlines_)
        {
            if (deadline > now)
            {
                break;
            }
            out.push_back(job);
        }
        return out;
    }
    demand_report demand(agent_incarnation agent, time_point) const override
    {
        demand_report out;
        const auto it = targets_.find(agent);
        if (it != targets_.end())
        {
            out.queued = static_cast<uint32_t>(queue_.size());
            out.in_flight = static_cast<uint32_t>(it->second.in_flight.size());
        }
        return out;
    }
    std::size_t waiting_tasks() const override
    {
        return queue_.size();
    }
    bool is_waiting(job_key job) const override
    {
        const auto it = jobs_.find(job);
        return it != jobs_.end() && it->second.waiting > 0;
    }

  protected:
    struct offered_target
    {
        target_offer offer;
        unsigned grant = 0;
        std::set<task_ref> in_flight;
    };

    virtual std::optional<agent_incarnation> choose() = 0;

    std::optional<agent_incarnation> random_target()
    {
        if (targets_.empty())
        {
            return std::nullopt;
        }
        const auto last_index = static_cast<unsigned>(targets_.size()) - 1;
        return std::next(targets_.begin(), random_.between(0, last_index))
            ->first;
    }

    std::map<agent_incarnation, offered_target> targets_;
    random_source random_;

  private:
    struct job_state
    {
        time_point deadline;
        std::size_t unsettled = 0;
        std::size_t waiting = 0;
    };
    struct waiting_task
    {
        time_point not_before;
        task_ref task;
    };

    std::deque<waiting_task> queue_;
    std::map<job_key, job_state> jobs_;
    std::set<std::pair<time_point, job_key>> deadlines_;
};

// Sends each task to a random target.
class naive_policy : public simple_policy
{
  public:
    using simple_policy::simple_policy;

  protected:
    std::optional<agent_incarnation> choose() override
    {
        return random_target();
    }
};

// Draws two random targets for each task and sends it to the one with fewer
// starts in flight from this entry.
class two_choices_policy : public simple_policy
{
  public:
    using simple_policy::simple_policy;

  protected:
    std::optional<agent_incarnation> choose() override
    {
        const auto a = random_target();
        const auto b = random_target();
        if (!a || !b)
        {
            return a;
        }
        return targets_.at(*b).in_flight.size() <
                       targets_.at(*a).in_flight.size()
                   ? b
                   : a;
    }
};

// Sends the oldest task to a random target with an unused credit.
class fifo_credits_policy : public simple_policy
{
  public:
    using simple_policy::simple_policy;

  protected:
    std::optional<agent_incarnation> choose() override
    {
        std::vector<agent_incarnation> free;
        for (const auto& [agent, t] : targets_)
        {
            if (t.in_flight.size() < t.grant)
            {
                free.push_back(agent);
            }
        }
        if (free.empty())
        {
            return std::nullopt;
        }
        const auto last_index = static_cast<unsigned>(free.size()) - 1;
        return free[random_.between(0, last_index)];
    }
};

template <class Policy>
std::unique_ptr<entry_policy> make_policy(const dispatch_options& options)
{
    return std::make_unique<Policy>(options);
}

policy_version naive_version()
{
    policy_version out;
    out.name = "naive";
    out.make = make_policy<naive_policy>;
    return out;
}

policy_version two_choices_version()
{
    policy_version out;
    out.name = "two-choices";
    out.queue = agent_queue::unbounded;
    out.make = make_policy<two_choices_policy>;
    return out;
}

policy_version fifo_credits_version()
{
    policy_version out;
    out.name = "fifo-credits";
    out.uses_credits = true;
    out.queue = agent_queue::bounded;
    out.make = make_policy<fifo_credits_policy>;
    return out;
}

policy_version design_version()
{
    auto out = fifo_credits_version();
    out.name = "design";
    out.make = make_policy<design_policy>;
    return out;
}

using change = void (*)(policy_version&);

policy_version with_change(policy_version version, const std::string& name,
                           change apply)
{
    version.name += ": " + name;
    apply(version);
    return version;
}

} // namespace

std::vector<policy_version> all_versions()
{
    return {naive_version(), two_choices_version(), fifo_credits_version(),
            design_version()};
}

std::vector<policy_version> all_variants()
{
    const auto design = design_version();
    const auto two_choices = two_choices_version();
    using version = policy_version;
    return {
        design,
        with_change(design, "queue allowance 1",
                    [](version& v) { v.queue_allowance = 1; }),
        with_change(design, "queue allowance 2",
                    [](version& v) { v.queue_allowance = 2; }),
        with_change(design, "no admission control",
                    [](version& v) { v.options.admission_control = false; }),
        with_change(design, "declared run times",
                    [](version& v) { v.options.learned_run_times = false; }),
        with_change(design, "no ejection",
                    [](version& v) { v.options.ejection = false; }),
        with_change(design, "no cancellation",
                    [](version& v) { v.cancels = false; }),
        with_change(design, "no deadline at agents",
                    [](version& v) { v.carries_deadline = false; }),
        with_change(design, "no back-off",
                    [](version& v) { v.options.retry_back_off = false; }),
        with_change(design, "response only",
                    [](version& v) {
                        v.options.weights = {1, 0};
                    }),
        with_change(design, "waste only",
                    [](version& v) {
                        v.options.weights = {0, 1};
                    }),
        two_choices,
        with_change(two_choices, "queue of 2 at agents",
                    [](version& v)
                    {
                        v.queue = agent_queue::bounded;
                        v.queue_allowance = 2;
                        v.retries_without_limit = true;
                    }),
        with_change(two_choices, "no deadline at agents",
                    [](version& v) { v.carries_deadline = false; }),
        with_change(two_choices, "no cancellation",
                    [](version& v) { v.cancels = false; }),
    };
}

} // namespace agatebank::experiment
