#include "job_scheduler_times.hpp"
#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <algorithm>
#include <utility>

// Ends of jobs and of their runs.

namespace agatebank
{

namespace
{

/// Stalls of a task that are counted. Each multiplies the expected run time of
/// its next attempt by 4, so the factor is at most 4096.
constexpr uint32_t max_counted_stalls = 6;

} // namespace

// ends of jobs

job_scheduler::orders_by_agent
job_scheduler::withdraw_orders(const job_record& job)
{
    orders_by_agent out;
    for (const auto& step : job.steps)
    {
        for (const auto& task : step.tasks)
        {
            if (task.state != task_state::ordered)
            {
                continue;
            }
            out[task.agent].push_back(task.order);
            orders_.erase(task.order);
            containment_.remove_order(task.agent, task.order);
            const auto it = targets_.find(task.agent);
            if (it != targets_.end())
            {
                it->second.remove_order(task.order);
            }
        }
    }
    return out;
}

void job_scheduler::cancel_and_erase(job_key key, time_point now)
{
    const auto it = jobs_.find(key);
    remember_end(it->second, now);
    for (const auto& [agent, ids] : withdraw_orders(it->second))
    {
        hooks_.cancel(agent, ids);
    }
    for (auto& step : it->second.steps)
    {
        for (std::size_t i = 0; i < step.tasks.size(); ++i)
        {
            drop_wait(it->second, static_cast<uint32_t>(i), step.tasks[i],
                      "its job is over");
        }
    }
    by_id_.erase(it->second.submission.id);
    waiting_jobs_.erase(key);
    held_jobs_.erase(key);
    jobs_.erase(it);
}

void job_scheduler::end_job(job_key key, const job_outcome& outcome,
                            const char* why, time_point now)
{
    observe_end(jobs_.at(key), outcome.result, now);
    close_job(key, outcome, why, now);
}

void job_scheduler::close_job(job_key key, const job_outcome& outcome,
                              const char* why, time_point now)
{
    const auto& job = jobs_.at(key);
    switch (outcome.result)
    {
    case job_result::succeeded:
        ++counts_.succeeded;
        break;
    case job_result::failed:
        ++counts_.failed;
        break;
    case job_result::not_run:
        ++counts_.refused;
        break;
    case job_result::abandoned:
        ++counts_.abandoned;
        break;
    }
    log(log_level::info, job,
        std::string("job ended: ") + why + "; took " +
            to_ms_text(now - job.arrived) +
            (now > job.objective
                 ? ", objective missed by " + to_ms_text(now - job.objective)
                 : std::string(", objective met")));
    cancel_and_erase(key, now);
    hooks_.finish(key, outcome);
}

void job_scheduler::cancel(job_key key, const char* why, time_point now)
{
    const auto it = jobs_.find(key);
    if (it == jobs_.end())
    {
        return;
    }
    ++counts_.cancelled;
    log(log_level::info, it->second, std::string("job cancelled: ") + why);
    cancel_and_erase(key, now);
}

void job_scheduler::abandon_all(const char* why, time_point now)
{
    while (!jobs_.empty())
    {
        const auto& [key, job] = *jobs_.begin();
        const auto outcome = job.held ? job_outcome{job_result::not_run,
                                                    queue_timeout_retry_after}
                                      : job_outcome{job_result::abandoned, {}};
        observe_end(job, outcome.result, job.arrived);
        close_job(key, outcome, why, now);
    }
}

// ends of runs

void job_scheduler::learn_run_time(const job_record& job, uint32_t step,
                                   agent_incarnation agent,
                                   const order_result& end)
{
    const auto it = targets_.find(agent);
    if (it == targets_.end() || end.cold ||
        (it->second.load().slowdown > 1 && forecast_.has_learned_speed(agent)))
    {
        return;
    }
    // Runs away from their data would show a lower speed than the target has.
    const auto& plan = job.submission.plan.steps[step];
    const bool near =
        plan.data_rack.empty() || it->second.has_label(plan.data_rack);
    forecast_.learn(job.submission.matched_route.name, plan, agent,
                    scale(duration(end.run_us),
                          near ? 1.0 : 1 / options_.remote_data_factor));
}

bool job_scheduler::can_finish_elsewhere(const job_record& job,
                                         const order_ref& ref,
                                         time_point now) const
{
    auto request = to_request(job, ref.step, now);
    request.excluded = &job.steps[ref.step].tasks[ref.index].excluded;
    const auto choice = choose_target_for(request, now);
    return choice && now + choice->finish <= last_useful_end(job);
}

void job_scheduler::remove_placement(job_record& job, uint32_t step,
                                     task_record& task)
{
    auto& placed = job.steps[step].placed;
    const auto it = placed.find(task.agent);
    if (it != placed.end() && --it->second == 0)
    {
        placed.erase(it);
    }
}

bool job_scheduler::complete_task(job_key key, job_record& job,
                                  const order_ref& ref, time_point now)
{
    auto& step = job.steps[ref.step];
    step.tasks[ref.index].state = task_state::done;
    if (--step.unfinished_tasks != 0)
    {
        return false;
    }
    if (--job.unfinished_steps == 0)
    {
        end_job(key, {job_result::succeeded, {}}, "succeeded", now);
        return true;
    }
    unblock_later_steps(key, job, now);
    return false;
}

void job_scheduler::unblock_later_steps(job_key key, job_record& job,
                                        time_point now)
{
    for (std::size_t i = 0; i < job.steps.size(); ++i)
    {
        auto& later = job.steps[i];
        const auto& after = job.submission.plan.steps[i].after;
        const bool open =
            !after.empty() &&
            std::all_of(after.begin(), after.end(),
                        [&job](uint32_t s)
                        { return job.steps[s].unfinished_tasks == 0; });
        for (auto& task : later.tasks)
        {
            if (open && task.state == task_state::blocked)
            {
                task.state = state_to_start(task, now);
                ++job.waiting_tasks;
                waiting_jobs_.insert(key);
            }
        }
    }
}

void job_scheduler::on_end(agent_incarnation agent, const order_result& end,
                           time_point now)
{
    const auto target = targets_.find(agent);
    if (target != targets_.end())
    {
        target->second.remove_order(end.id);
    }
    containment_.remove_order(agent, end.id);
    const auto found = orders_.find(end.id);
    if (found == orders_.end())
    {
        return; // the job has already ended
    }
    const auto ref = found->second;
    orders_.erase(found);
    auto& job = jobs_.at(ref.job);
    auto& task = job.steps[ref.step].tasks[ref.index];
    const bool started = end.outcome != run_outcome::not_run &&
                         end.outcome != run_outcome::past_deadline &&
                         end.outcome != run_outcome::returned;
    job.may_have_run = job.may_have_run || started;
    remove_placement(job, ref.step, task);
    if (const auto wait = std::exchange(task.wait, std::nullopt))
    {
        settle_wait(job, ref.index, *wait, end);
        task.wait_given_up = !started;
    }
    if (end.outcome == run_outcome::done)
    {
        learn_run_time(job, ref.step, agent, end);
        if (task.isolated)
        {
            containment_.on_isolated_end(job.submission.matched_route.name);
        }
        observe_own_delay(job, ref, end, now);
        if (job.first_task_pending)
        {
            unblock_after_first_task(ref.job, job, now);
        }
        if (!complete_task(ref.job, job, ref, now) && job.waiting_tasks != 0)
        {
            place_waiting(ref.job, job, now);
        }
        return;
    }
    log(log_level::info, job,
        std::string("run ended as ") + to_word(end.outcome) + ", target " +
            (target == targets_.end() ? std::string("(disconnected)")
                                      : target->second.profile().target) +
            ", ran for " + to_ms_text(duration(end.run_us)) + ", queued for " +
            to_ms_text(duration(end.queued_us)) + ", attempt " +
            std::to_string(task.attempt),
        static_cast<int32_t>(ref.index));
    if (end.outcome == run_outcome::returned)
    {
        ++counts_.returned_early;
        task.returned = order_return{agent, duration(end.expected_wait_us)};
    }
    else
    {
        task.excluded.insert(agent);
    }
    if (end.outcome == run_outcome::stalled)
    {
        task.stalls = std::min(task.stalls + 1, max_counted_stalls);
    }
    if (end.outcome == run_outcome::failed &&
        ++task.failures >= job.submission.matched_route.max_attempts)
    {
        end_job(ref.job, {job_result::failed, {}}, "failed", now);
        return;
    }
    if (end.outcome == run_outcome::target_lost)
    {
        task.lost_at = agent;
        task.lost_until = now + duration(end.may_run_us);
        task.state = state_to_start(task, now);
        if (handle_target_loss(ref.job, job, ref, now) ||
            end_if_lost_too_late(ref, now))
        {
            return;
        }
    }
    if (end.outcome == run_outcome::past_deadline &&
        !can_finish_elsewhere(job, ref, now))
    {
        task.state = task_state::waiting;
        end_job(ref.job,
                {any_task_may_have_run(job) ? job_result::abandoned
                                            : job_result::not_run,
                 queue_timeout_retry_after},
                "given up, no target can finish a task in time", now);
        return;
    }
    task.state = state_to_start(task, now);
    ++job.waiting_tasks;
    waiting_jobs_.insert(ref.job);
    if (place_waiting(ref.job, job, now))
    {
        waiting_jobs_.erase(ref.job);
    }
}

bool job_scheduler::end_if_lost_too_late(const order_ref& ref, time_point now)
{
    const auto& job = jobs_.at(ref.job);
    const auto& task = job.steps[ref.step].tasks[ref.index];
    const auto run_time =
        forecast_
            .task_run_time(job.submission.matched_route.name,
                           job.submission.plan.steps[ref.step])
            .typical;
    if (task.lost_until <= now ||
        task.lost_until + run_time <= last_useful_end(job))
    {
        return false;
    }
    ++counts_.lost_too_late;
    const auto why = "given up, a run of task " + std::to_string(ref.index) +
                     " of step " + std::to_string(ref.step) +
                     " may go on for " + to_ms_text(task.lost_until - now) +
                     " at a target that can't be reached, another would take " +
                     to_ms_text(run_time);
    end_job(ref.job, {containment_.result_after_crashes(job), {}}, why.c_str(),
            now);
    return true;
}

void job_scheduler::release_lost_tasks(time_point now)
{
    std::vector<order_ref> released;
    for (const auto key : waiting_jobs_)
    {
        auto& job = jobs_.at(key);
        for (uint32_t i = 0; i < job.steps.size(); ++i)
        {
            for (uint32_t k = 0; k < job.steps[i].tasks.size(); ++k)
            {
                auto& task = job.steps[i].tasks[k];
                if (task.state == task_state::lost && task.lost_until <= now)
                {
                    task.state = task_state::waiting;
                    if (task.lost_at)
                    {
                        released.push_back({key, i, k});
                    }
                }
            }
        }
    }
    for (const auto& it : released)
    {
        const auto found = jobs_.find(it.job);
        if (found != jobs_.end())
        {
            handle_target_loss(it.job, found->second, it, now);
        }
    }
}

} // namespace agatebank
