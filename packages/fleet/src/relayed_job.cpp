#include <agatebank/fleet/job_relay.hpp>

#include <algorithm>

namespace agatebank
{

namespace
{

/// Limits of a job that a caller may submit.
constexpr std::size_t max_steps = 64;
constexpr uint32_t max_tasks_per_step = 10'000;

bool is_valid(const relayed_step& step, std::size_t index)
{
    return step.tasks >= 1 && step.tasks <= max_tasks_per_step &&
           std::all_of(step.after.begin(), step.after.end(),
                       [index](uint32_t it) { return it < index; });
}

} // namespace

relayed_job to_relayed_job(relay_id id, const job_submission& submission,
                           duration remaining)
{
    relayed_job out;
    out.id = id;
    out.job = submission.id;
    const auto& r = submission.matched_route;
    out.matched_route = {r.name,         r.service, r.priority,
                         r.max_attempts, r.stretch, r.added_latency.count()};
    out.version = submission.version;
    out.payload = submission.plan.payload;
    for (const auto& it : submission.plan.steps)
    {
        out.steps.push_back(
            {it.tasks, it.task_resources, it.declared_run_time.count(),
             it.after, it.required_label, it.data_rack, it.max_per_target});
    }
    out.spent_us = submission.spent.count();
    out.deadline_us = remaining.count();
    return out;
}

std::optional<job_submission> to_submission(const relayed_job& job)
{
    if (job.steps.empty() || job.steps.size() > max_steps)
    {
        return std::nullopt;
    }
    job_submission out;
    out.id = job.job;
    out.matched_route.name = job.matched_route.name;
    out.matched_route.service = job.matched_route.service;
    out.matched_route.priority = job.matched_route.priority;
    out.matched_route.max_attempts = job.matched_route.max_attempts;
    out.matched_route.stretch = job.matched_route.stretch;
    out.matched_route.added_latency =
        duration(job.matched_route.added_latency_us);
    out.version = job.version;
    out.plan.payload = job.payload;
    for (std::size_t i = 0; i < job.steps.size(); ++i)
    {
        const auto& it = job.steps[i];
        if (!is_valid(it, i))
        {
            return std::nullopt;
        }
        step_plan step;
        step.tasks = it.tasks;
        step.task_resources = it.task_resources;
        step.declared_run_time = duration(it.declared_run_us);
        step.after = it.after;
        step.required_label = it.required_label;
        step.data_rack = it.data_rack;
        step.max_per_target = it.max_per_target;
        out.plan.steps.push_back(std::move(step));
    }
    out.spent = duration(job.spent_us);
    out.deadline = duration(job.deadline_us);
    return out;
}

} // namespace agatebank
