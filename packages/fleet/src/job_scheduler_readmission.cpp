#include <agatebank/fleet/job_scheduler.hpp>

#include <algorithm>
#include <utility>
#include <vector>

// Jobs that are submitted again soon after an earlier submission has ended.

namespace agatebank
{

void job_scheduler::remember_end(const job_record& job, time_point now)
{
    if (!any_task_may_have_run(job))
    {
        return;
    }
    std::vector<stopping_task> stopping;
    for (uint32_t i = 0; i < job.steps.size(); ++i)
    {
        const auto& tasks = job.steps[i].tasks;
        for (uint32_t k = 0; k < tasks.size(); ++k)
        {
            const auto until = tasks[k].state == task_state::ordered
                                   ? now + options_.lost_agent_grace
                                   : tasks[k].lost_until;
            if (until > now)
            {
                stopping.push_back({i, k, until});
            }
        }
    }
    ended_submissions_.put(job.submission.id, std::move(stopping), now);
}

void job_scheduler::apply_earlier_submission(job_record& job, time_point now)
{
    const auto* earlier = ended_submissions_.find(job.submission.id, now);
    if (earlier == nullptr || !options_.wait_for_earlier_runs)
    {
        return;
    }
    job.may_have_run = true;
    for (const auto& it : earlier->stopping)
    {
        if (it.step >= job.steps.size() ||
            it.index >= job.steps[it.step].tasks.size())
        {
            continue;
        }
        auto& task = job.steps[it.step].tasks[it.index];
        task.lost_until = it.until;
        if (task.state == task_state::waiting)
        {
            task.state = state_to_start(task, now);
        }
    }
}

task_state job_scheduler::state_to_start(const task_record& task,
                                         time_point now)
{
    return task.lost_until > now ? task_state::lost : task_state::waiting;
}

void job_scheduler::add_waits_for_stops(const job_record& job, duration chain,
                                        admission_input& admission,
                                        time_point now) const
{
    const auto& plan = job.submission.plan;
    for (uint32_t i = 0; i < job.steps.size(); ++i)
    {
        duration wait{};
        for (const auto& task : job.steps[i].tasks)
        {
            wait = std::max(wait, task.lost_until - now);
        }
        if (wait.count() <= 0)
        {
            continue;
        }
        const bool first = plan.steps[i].after.empty();
        const auto run_time =
            forecast_
                .task_run_time(job.submission.matched_route.name, plan.steps[i])
                .typical;
        auto rest = first ? chain : run_time;
        if (first && job.first_task_pending)
        {
            rest += run_time; // the other tasks follow the first one
        }
        else if (first)
        {
            admission.has_target =
                admission.has_target &&
                choose_target_for(to_request(job, i, now), now).has_value();
        }
        admission.expected_finish =
            std::max(admission.expected_finish, wait + rest);
    }
}

bool job_scheduler::may_have_run(const std::string& id, time_point now) const
{
    return find(id).has_value() || ended_submissions_.find(id, now) != nullptr;
}

} // namespace agatebank
