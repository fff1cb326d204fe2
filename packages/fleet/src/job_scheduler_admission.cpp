#include "job_scheduler_times.hpp"
#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <algorithm>
#include <utility>

// Admission: serving, holding and refusing new jobs.

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// Under the terms agreed with the operators, an answer that takes longer than
/// this multiple of the job's objective has no value.
constexpr int useful_objective_multiple = 3;
/// Period in which held jobs are decided again. Each decision looks at all
/// targets, and dozens of them may be discovered within 100 ms.
constexpr duration held_decision_period = 30ms;
/// Time between two runs of this entry on a probation target: the report of an
/// end and the next order.
constexpr duration order_turnaround_time = 20ms;

} // namespace

void job_scheduler::admit(job_key key, job_submission submission,
                          time_point now)
{
    auto& job = jobs_[key];
    job.submission = std::move(submission);
    job.arrived = now - job.submission.spent;
    const auto& plan = job.submission.plan;
    job.steps.resize(plan.steps.size());
    job.unfinished_steps = static_cast<uint32_t>(plan.steps.size());
    for (std::size_t i = 0; i < plan.steps.size(); ++i)
    {
        job.steps[i].tasks.resize(plan.steps[i].tasks);
        job.steps[i].unfinished_tasks = plan.steps[i].tasks;
        if (plan.steps[i].after.empty())
        {
            for (auto& task : job.steps[i].tasks)
            {
                task.state = task_state::waiting;
                ++job.waiting_tasks;
            }
        }
    }
    const auto chain =
        forecast_.longest_chain(job.submission.matched_route.name, plan);
    const auto& r = job.submission.matched_route;
    const auto objective =
        r.added_latency + duration(static_cast<int64_t>(
                              static_cast<double>(chain.count()) * r.stretch));
    job.objective = job.arrived + objective;
    job.useful_until = job.arrived + useful_objective_multiple * objective;
    job.deadline = now + job.submission.deadline;
    containment_.on_arrival(to_arriving_job(job, chain, objective), now);
    const bool may_run = containment_.apply_history(job, now);
    apply_earlier_submission(job, now);
    if (!may_run)
    {
        end_at_admission(key, job);
        return;
    }
    try_to_admit(key, job, now);
}

arriving_job job_scheduler::to_arriving_job(const job_record& job,
                                            duration chain,
                                            duration objective) const
{
    const auto& r = job.submission.matched_route;
    arriving_job out;
    out.route = r.name;
    out.service = r.service;
    duration first{};
    uint32_t first_tasks = 0;
    for (const auto& step : job.submission.plan.steps)
    {
        const auto typical = forecast_.task_run_time(r.name, step).typical;
        if (step.after.empty())
        {
            first = first_tasks == 0 ? typical : first;
            first_tasks += step.tasks;
        }
        out.work += std::chrono::duration<double>(typical).count() *
                    static_cast<double>(step.tasks) *
                    static_cast<double>(step.task_resources.cpu_millis) / 1000;
    }
    out.first_task_time = first + order_turnaround_time;
    out.late_on_probation = first_tasks > 1 && first + chain > objective;
    return out;
}

void job_scheduler::try_to_admit(job_key key, job_record& job, time_point now)
{
    const auto& plan = job.submission.plan;
    const auto& r = job.submission.matched_route;
    const auto chain = forecast_.longest_chain(r.name, plan);
    const auto objective = job.objective - now;
    admission_input admission;
    admission.objective = objective;
    admission.latest_useful = last_useful_end(job) - now;
    admission.has_target = true;
    std::vector<std::pair<uint32_t, std::vector<placed_task>>> placed;
    duration first_steps{};
    for (uint32_t i = 0; i < job.steps.size(); ++i)
    {
        if (!plan.steps[i].after.empty())
        {
            continue;
        }
        const auto startable =
            std::count_if(job.steps[i].tasks.begin(), job.steps[i].tasks.end(),
                          [](const task_record& t)
                          { return t.state == task_state::waiting; });
        auto chosen = choose_targets(key, job, i, now);
        admission.has_target =
            admission.has_target &&
            chosen.size() == static_cast<std::size_t>(startable);
        for (const auto& it : chosen)
        {
            first_steps = std::max(first_steps, it.choice.finish);
        }
        placed.emplace_back(i, std::move(chosen));
    }
    admission.expected_finish = std::max(first_steps, chain);
    if (plan.steps.size() == 1)
    {
        admission.expected_finish = first_steps;
    }
    if (job.first_task_pending)
    {
        // The other tasks follow the first one.
        admission.expected_finish = first_steps + chain;
        admission.has_target =
            admission.has_target || has_free_probation_target(r.service);
        counts_.refused_on_probation +=
            decide_admission(admission).admitted ? 0 : 1;
    }
    add_waits_for_stops(job, chain, admission, now);
    if (observer_.admission)
    {
        observer_.admission(job, admission);
    }
    const auto decision = decide_admission(admission);
    if (action_on_arrival(job, admission, decision.admitted, now) ==
        arrival_action::hold)
    {
        hold(key, job, now);
        return;
    }
    held_jobs_.erase(key);
    if (!decision.admitted && containment_.has_losses(job))
    {
        // Its tasks have run before, so it is not refused as not run.
        withdraw_orders(job); // these have not been sent
        end_at_admission(key, job);
        return;
    }
    if (!decision.admitted)
    {
        const std::string why =
            admission.has_target ? "expected to finish in " +
                                       to_ms_text(admission.expected_finish) +
                                       ", answer useful only within " +
                                       to_ms_text(admission.latest_useful)
            : job.first_task_pending
                ? "route " + r.name.value() +
                      " is on probation and its targets are taken or away"
                : "not every task has a suitable target, " +
                      std::to_string(count_evacuated(targets_)) + " of " +
                      std::to_string(targets_.size()) +
                      " targets are in evacuated failure domains";
        refuse(key, job, decision.retry_after, why, !admission.has_target);
        return;
    }
    if (!job.first_task_pending && !containment_.has_losses(job))
    {
        if (const auto why = reason_to_shed(job, admission, now))
        {
            refuse(key, job, queue_timeout_retry_after, *why, false);
            return;
        }
    }
    job.expected_finish = now - job.arrived + admission.expected_finish;
    ++counts_.admitted;
    containment_.on_admitted(r.name, now);
    by_id_[job.submission.id] = key;
    job.held = false;
    deadlines_.emplace(job.deadline - answer_delivery_time, key);
    log(log_level::info, job,
        "job admitted: " + std::to_string(plan.task_count()) +
            " tasks of route " + r.name.value() + ", configuration version " +
            std::to_string(job.submission.version.value()) +
            ", expected to finish in " + to_ms_text(admission.expected_finish) +
            ", objective " + to_ms_text(objective) + ", deadline " +
            to_ms_text(job.submission.deadline) +
            (now > job.arrived ? ", arrived " + to_ms_text(now - job.arrived) +
                                     " ago (held or relayed)"
                               : std::string()) +
            ", tasks by target " + targets_of(job));
    for (const auto& [step, chosen] : placed)
    {
        job.waiting_tasks -= static_cast<uint32_t>(chosen.size());
        send_orders(job, step, chosen, now);
    }
    if (job.waiting_tasks != 0)
    {
        waiting_jobs_.insert(key);
    }
}

arrival_action
job_scheduler::action_on_arrival(const job_record& job,
                                 const admission_input& admission,
                                 bool admitted, time_point now) const
{
    if (job.first_task_pending || job.may_have_run ||
        containment_.has_losses(job))
    {
        return admitted ? arrival_action::place : arrival_action::refuse;
    }
    arrival_hold_input input;
    input.since_start = now - options_.started;
    input.discovery_window = options_.discovery_window;
    if (latest_discovery_)
    {
        input.since_discovery = now - *latest_discovery_;
    }
    input.servable = admitted;
    input.expected_finish = admission.expected_finish;
    input.shortest_finish = forecast_.longest_chain(
        job.submission.matched_route.name, job.submission.plan);
    input.objective = admission.objective;
    input.latest_useful = admission.latest_useful;
    return decide_arrival(input);
}

void job_scheduler::hold(job_key key, job_record& job, time_point now)
{
    withdraw_orders(job);
    for (auto& step : job.steps)
    {
        step.placed.clear();
        for (auto& task : step.tasks)
        {
            if (task.state == task_state::ordered)
            {
                task.state = task_state::waiting;
            }
        }
    }
    if (std::exchange(job.held, true))
    {
        return;
    }
    ++counts_.held;
    held_jobs_.insert(key);
    by_id_[job.submission.id] = key;
    log(log_level::info, job,
        "job held until further targets are discovered: " +
            std::to_string(targets_.size()) + " targets known " +
            to_ms_text(now - options_.started) +
            " after the start, time to objective " +
            to_ms_text(job.objective - now));
}

void job_scheduler::admit_held(time_point now)
{
    if (now < next_held_decision_)
    {
        return;
    }
    next_held_decision_ = now + held_decision_period;
    // Copied, as a decision removes a job from the set.
    const auto keys = held_jobs_;
    for (const auto key : keys)
    {
        try_to_admit(key, jobs_.at(key), now);
    }
}

void job_scheduler::end_at_admission(job_key key, const job_record& job)
{
    const auto result = containment_.result_after_crashes(job);
    const bool failed = result == job_result::failed;
    ++(failed ? counts_.failed : counts_.abandoned);
    counts_.failed_by_crashes += failed ? 1 : 0;
    log(log_level::warning, job,
        std::string("job ") + (failed ? "failed" : "given up") +
            " without a run: targets were lost while a task of it was running");
    erase_unadmitted(key, job);
    hooks_.finish(key, {result, {}});
}

void job_scheduler::erase_unadmitted(job_key key, const job_record& job)
{
    if (job.held)
    {
        by_id_.erase(job.submission.id);
    }
    jobs_.erase(key);
}

void job_scheduler::refuse(job_key key, job_record& job, duration retry_after,
                           const std::string& why, bool no_target)
{
    withdraw_orders(job); // these have not been sent
    // Tasks of an earlier submission may have run.
    const bool abandoned = job.may_have_run;
    ++(abandoned ? counts_.abandoned : counts_.refused);
    log(log_level::warning, job,
        (abandoned ? "job given up, as it was submitted here before: "
                   : "job refused: ") +
            why + (job.held ? ", was held for targets to be discovered" : "") +
            "; retry after " + to_ms_text(retry_after));
    erase_unadmitted(key, job);
    hooks_.finish(key, abandoned ? job_outcome{job_result::abandoned, {}}
                                 : job_outcome{job_result::not_run, retry_after,
                                               no_target});
}

std::string job_scheduler::targets_of(const job_record& job) const
{
    std::string out;
    for (const auto& step : job.steps)
    {
        for (const auto& [agent, n] : step.placed)
        {
            out += (out.empty() ? "" : " ") +
                   targets_.at(agent).profile().target + ":" +
                   std::to_string(n);
        }
    }
    return out;
}

time_point job_scheduler::last_useful_end(const job_record& job)
{
    return std::min(job.deadline - answer_delivery_time, job.useful_until);
}

} // namespace agatebank
