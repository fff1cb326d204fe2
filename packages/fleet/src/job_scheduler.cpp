#include "job_scheduler_times.hpp"
#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// A suspect target is sent one task per period. A target that works again
/// leaves the suspect state after a few of these probes.
constexpr duration probe_period = 400ms;
/// Period in which old crashes are removed from the memory.
constexpr duration crash_expiry_period = 1s;

} // namespace

job_scheduler::job_scheduler(job_scheduler_options options,
                             job_scheduler_hooks hooks)
    : options_(std::move(options))
    , hooks_(std::move(hooks))
    , containment_(hooks_.log)
{
}

// targets

void job_scheduler::put_target(agent_incarnation agent,
                               const target_profile& profile, time_point now)
{
    const auto added =
        targets_.insert_or_assign(agent, target_load_tracker(profile));
    evacuated_.mark(added.first->second);
    latest_discovery_ = now;
    containment_.put_target();
    forecast_.put_target(agent, profile);
    tick(now);
}

void job_scheduler::set_load(agent_incarnation agent, const target_load& load,
                             time_point now)
{
    const auto it = targets_.find(agent);
    if (it == targets_.end())
    {
        return;
    }
    if (load.speed > 0)
    {
        forecast_.set_learned_speed(agent, load.speed);
    }
    containment_.set_accepting(agent, load.accepts_work, now);
    if (it->second.set_load(load, now))
    {
        log_record r;
        r.text = std::string("target ") +
                 (load.accepts_work ? "accepts work" : "does not accept work") +
                 (load.suspect ? ", is suspect" : "") +
                 (load.cold ? ", is cold" : "") + ", slowdown factor " +
                 std::to_string(load.slowdown) + ", share of hung runs " +
                 std::to_string(load.hang_share) + ", speed factor " +
                 std::to_string(forecast_.speed(agent)) +
                 (forecast_.has_learned_speed(agent) ? " learned" : " guessed");
        r.step = "target.state";
        r.peer = it->second.profile().target;
        hooks_.log(r);
    }
    if (!waiting_jobs_.empty())
    {
        tick(now);
    }
}

void job_scheduler::remove_target(agent_incarnation agent, time_point now)
{
    targets_.erase(agent);
    containment_.remove_target(agent);
    forecast_.remove_target(agent);
    for (auto& [key, job] : jobs_)
    {
        for (auto& step : job.steps)
        {
            for (auto& task : step.tasks)
            {
                if (task.state != task_state::ordered || task.agent != agent)
                {
                    continue;
                }
                orders_.erase(task.order);
                drop_wait(job, static_cast<uint32_t>(&task - &step.tasks[0]),
                          task, "the link to its agent was lost");
                task.state = task_state::lost;
                task.lost_at = agent;
                task.lost_until = now + options_.lost_agent_grace;
                task.excluded.insert(agent);
                job.may_have_run = true;
                ++job.waiting_tasks;
                waiting_jobs_.insert(key);
            }
        }
    }
}

bool job_scheduler::set_evacuation(const evacuation_state& state,
                                   const std::string& source)
{
    const auto before = evacuated_.state().domains();
    if (!evacuated_.merge(state, targets_))
    {
        return false;
    }
    if (before == evacuated_.state().domains())
    {
        return true;
    }
    log_record r;
    r.text = "evacuated failure domains at " + evacuated_.state().to_text() +
             ", received from " + source + "; " +
             std::to_string(count_evacuated(targets_)) + " of " +
             std::to_string(targets_.size()) + " targets are in them";
    r.step = "evacuation";
    hooks_.log(r);
    containment_.put_target();
    return true;
}

bool job_scheduler::end_if_evacuated(job_key key, time_point now)
{
    if (evacuated_.state().domains().empty())
    {
        return false;
    }
    const auto& job = jobs_.at(key);
    const auto& plan = job.submission.plan;
    for (std::size_t i = 0; i < job.steps.size(); ++i)
    {
        const auto& tasks = job.steps[i].tasks;
        if (std::any_of(tasks.begin(), tasks.end(),
                        [](const task_record& t)
                        { return t.state == task_state::waiting; }) &&
            evacuated_.leave_no_target(
                targets_, job.submission.matched_route.service, plan.steps[i]))
        {
            end_job(key,
                    {containment_.result_after_crashes(job),
                     queue_timeout_retry_after},
                    "given up, all targets that can run a task are in "
                    "evacuated failure domains",
                    now);
            return true;
        }
    }
    return false;
}

// placement

placement_request job_scheduler::to_request(const job_record& job,
                                            uint32_t step, time_point now) const
{
    placement_request request;
    request.service = job.submission.matched_route.service;
    request.step = &job.submission.plan.steps[step];
    request.expected = forecast_.task_run_time(
        job.submission.matched_route.name, *request.step);
    request.band = to_band(job.submission.matched_route.priority);
    request.time_to_objective = job.objective - now;
    request.stretch = job.submission.matched_route.stretch;
    request.remote_data_factor = options_.remote_data_factor;
    request.placed = &job.steps[step].placed;
    request.locality = options_.locality ? &options_.locality : nullptr;
    request.time_to_last_useful = last_useful_end(job) - now;
    return request;
}

std::optional<placement_choice>
job_scheduler::choose_target_for(const placement_request& request,
                                 time_point now) const
{
    return choose_target(targets_, request, speeds(), now);
}

speed_lookup job_scheduler::speeds() const
{
    return [this](agent_incarnation agent)
    {
        return forecast_.speed(agent);
    };
}

std::vector<job_scheduler::placed_task>
job_scheduler::choose_targets(job_key key, job_record& job, uint32_t step,
                              time_point now)
{
    std::vector<placed_task> out;
    auto request = to_request(job, step, now);
    auto& record = job.steps[step];
    for (uint32_t i = 0; i < record.tasks.size(); ++i)
    {
        auto& task = record.tasks[i];
        if (task.state != task_state::waiting)
        {
            continue;
        }
        request.excluded = &task.excluded;
        request.behind_other_work = task.wait_given_up;
        // The next order of a returned task is ranked among all others, so
        // that it would delay them if it waited.
        request.may_wait_near_data = !task.has_waited && !task.returned;
        auto choice = choose_target_around_crashes(request, task, now);
        if (task.returned)
        {
            choice = choose_after_return(targets_, request, speeds(),
                                         *task.returned, choice, now);
        }
        if (!choice)
        {
            continue;
        }
        auto& target = targets_.at(choice->agent);
        task.order = order_id(++last_order_);
        task.ordered_at = now;
        task.agent = choice->agent;
        target.add_order(task.order, request.step->task_resources, request.band,
                         choice->run_time);
        if (choice->probe)
        {
            target.set_next_probe(now + probe_period);
        }
        if (task.isolated)
        {
            containment_.add_isolated_order(choice->agent, task.order);
            ++counts_.isolated_orders;
        }
        else if (task.lost_at)
        {
            containment_.add_replacement(*task.lost_at, choice->agent, now);
        }
        ++record.placed[choice->agent];
        orders_[task.order] = {key, step, i};
        task.state = task_state::ordered;
        out.push_back({i, *choice});
    }
    return out;
}

// crashes

std::optional<placement_choice> job_scheduler::choose_target_around_crashes(
    placement_request& request, const task_record& task, time_point now)
{
    const auto limits = containment_.limits_of(task, request, targets_, now);
    request.allowed = limits.allowed ? &*limits.allowed : nullptr;
    request.reserved = limits.reserved;
    if (task.lost_at && !task.isolated)
    {
        auto avoided = containment_.replacements(*task.lost_at, now);
        avoided.insert(task.excluded.begin(), task.excluded.end());
        request.excluded = &avoided;
        const auto apart = choose_target_for(request, now);
        request.excluded = &task.excluded;
        if (apart)
        {
            return apart;
        }
    }
    request.excluded = &task.excluded;
    auto choice = choose_target_for(request, now);
    if (!choice && !task.excluded.empty())
    {
        // Every suitable target was tried without success; retrying one of
        // them is better than not running the task.
        request.excluded = nullptr;
        choice = choose_target_for(request, now);
    }
    if (!choice && request.reserved != nullptr)
    {
        request.reserved = nullptr;
        choice = choose_target_for(request, now);
    }
    if (observer_.placement)
    {
        observer_.placement(request, task, choice);
    }
    return choice;
}

bool job_scheduler::has_free_probation_target(const service_name& service)
{
    const auto waiting = std::count_if(
        waiting_jobs_.begin(), waiting_jobs_.end(),
        [this](job_key key) { return jobs_.at(key).first_task_pending; });
    return waiting < containment_.usable_probation_targets(service, targets_);
}

void job_scheduler::unblock_after_first_task(job_key key, job_record& job,
                                             time_point now)
{
    job.first_task_pending = false;
    const auto& steps = job.submission.plan.steps;
    for (std::size_t i = 0; i < job.steps.size(); ++i)
    {
        for (auto& task : job.steps[i].tasks)
        {
            if (steps[i].after.empty() && task.state == task_state::blocked)
            {
                task.state = state_to_start(task, now);
                ++job.waiting_tasks;
                waiting_jobs_.insert(key);
            }
        }
    }
}

std::vector<crash_report>
job_scheduler::on_crashes(const std::vector<crash_report>& reports,
                          time_point now)
{
    auto added = containment_.on_crashes(reports, now);
    for (const auto& it : added)
    {
        // The link over which the end of the order would be reported may be
        // lost, and the task may wait for another target already.
        const auto found = by_id_.find(it.task.job);
        if (found != by_id_.end() && containment_.is_proven(it.task, now))
        {
            const auto key = found->second;
            handle_target_loss(key, jobs_.at(key),
                               {key, it.task.step, it.task.index}, now);
        }
    }
    return added;
}

bool job_scheduler::handle_target_loss(job_key key, job_record& job,
                                       const order_ref& ref, time_point now)
{
    const auto verdict =
        containment_.on_target_lost(job, ref.step, ref.index, now);
    if (!verdict)
    {
        return false;
    }
    counts_.failed_by_crashes += verdict->result == job_result::failed ? 1 : 0;
    end_job(key, {verdict->result, {}}, verdict->why.c_str(), now);
    return true;
}

bool job_scheduler::waits_in_vain(const job_record& job, time_point now) const
{
    for (uint32_t i = 0; i < job.steps.size(); ++i)
    {
        const auto& tasks = job.steps[i].tasks;
        const bool waits =
            std::any_of(tasks.begin(), tasks.end(),
                        [](const task_record& t) {
                            return t.state == task_state::waiting && t.isolated;
                        });
        if (waits &&
            now + forecast_
                        .task_run_time(job.submission.matched_route.name,
                                       job.submission.plan.steps[i])
                        .typical >
                last_useful_end(job))
        {
            return true;
        }
    }
    return false;
}

void job_scheduler::send_orders(job_record& job, uint32_t step,
                                const std::vector<placed_task>& placed,
                                time_point now)
{
    std::map<agent_incarnation, run_batch> batches;
    for (const auto& it : placed)
    {
        auto& task = job.steps[step].tasks[it.index];
        ++task.attempt;
        ++counts_.orders;
        if (task.attempt > 1)
        {
            ++counts_.repeated_orders;
            counts_.moved_orders +=
                task.returned && it.choice.agent != task.returned->agent ? 1
                                                                         : 0;
            log(log_level::info, job,
                "ordering attempt " + std::to_string(task.attempt) +
                    " at target " +
                    targets_.at(it.choice.agent).profile().target +
                    ", expected to finish in " + to_ms_text(it.choice.finish) +
                    ", time to objective " + to_ms_text(job.objective - now),
                static_cast<int32_t>(it.index));
        }
        // If the estimate is far too low, every attempt would be stopped as
        // stalled. Raising it with each stall lets the task finish eventually.
        const auto expected = it.choice.run_time * (1 << (2 * task.stalls));
        const auto reference =
            forecast_.reference_time(job.submission.matched_route.name,
                                     it.choice.agent, it.choice.run_time);
        const auto max_wait = note_locality(task, it.choice);
        batches[it.choice.agent].orders.push_back(
            {task.order, step, it.index, task.attempt, expected.count(),
             reference.value_or(duration(0)).count(), task.isolated,
             task.returned || max_wait.behind_others,
             max_wait.longest.count()});
    }
    const auto& plan = job.submission.plan;
    for (auto& [agent, batch] : batches)
    {
        batch.target = targets_.at(agent).profile().incarnation;
        batch.job = job.submission.id;
        batch.route = job.submission.matched_route.name.value();
        batch.payload = plan.payload;
        batch.task_resources = plan.steps[step].task_resources;
        batch.priority = job.submission.matched_route.priority;
        batch.objective_us = (job.objective - now).count();
        batch.useful_until_us = (job.useful_until - now).count();
        batch.deadline_us = (job.deadline - now).count();
        hooks_.send(agent, batch);
    }
}

bool job_scheduler::place_waiting(job_key key, job_record& job, time_point now)
{
    for (uint32_t i = 0; i < job.steps.size(); ++i)
    {
        const auto placed = choose_targets(key, job, i, now);
        if (placed.empty())
        {
            continue;
        }
        job.waiting_tasks -= static_cast<uint32_t>(placed.size());
        send_orders(job, i, placed, now);
    }
    return job.waiting_tasks == 0;
}

// tick

void job_scheduler::tick(time_point now)
{
    if (now >= next_expiry_)
    {
        next_expiry_ = now + crash_expiry_period;
        containment_.expire(now);
    }
    containment_.resize(targets_, hooks_.entry_count ? hooks_.entry_count() : 1,
                        now);
    admit_held(now);
    release_lost_tasks(now);
    std::vector<job_key> in_vain;
    std::vector<job_key> unplaced;
    for (auto it = waiting_jobs_.begin(); it != waiting_jobs_.end();)
    {
        const auto key = *it;
        auto& job = jobs_.at(key);
        if (place_waiting(key, job, now))
        {
            it = waiting_jobs_.erase(it);
            continue;
        }
        if (waits_in_vain(job, now))
        {
            in_vain.push_back(key);
        }
        else
        {
            unplaced.push_back(key);
        }
        ++it;
    }
    for (const auto key : unplaced)
    {
        end_if_evacuated(key, now);
    }
    for (const auto key : in_vain)
    {
        const auto result = containment_.result_after_crashes(jobs_.at(key));
        counts_.failed_by_crashes += result == job_result::failed ? 1 : 0;
        end_job(key, {result, queue_timeout_retry_after},
                "given up, no probation target became free in time", now);
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const auto key = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        if (jobs_.count(key) != 0)
        {
            end_job(key, {job_result::abandoned, {}},
                    "given up at the deadline", now);
        }
    }
}

// lookup

std::size_t job_scheduler::running_jobs() const noexcept
{
    return jobs_.size();
}

std::size_t job_scheduler::held_jobs() const noexcept
{
    return held_jobs_.size();
}

const job_scheduler_counts& job_scheduler::counts() const noexcept
{
    return counts_;
}

const target_map& job_scheduler::targets() const noexcept
{
    return targets_;
}

const crash_containment& job_scheduler::containment() const noexcept
{
    return containment_;
}

const crash_history& job_scheduler::crashes() const noexcept
{
    return containment_.history();
}

const evacuated_targets& job_scheduler::evacuated() const noexcept
{
    return evacuated_;
}

std::optional<job_key> job_scheduler::find(const std::string& id) const
{
    const auto it = by_id_.find(id);
    if (it == by_id_.end())
    {
        return std::nullopt;
    }
    return it->second;
}

void job_scheduler::log(log_level level, const job_record& job,
                        std::string text, int32_t task) const
{
    log_record r;
    r.level = level;
    r.text = std::move(text);
    r.step = "job";
    r.submission = job.submission.id;
    r.task = task;
    hooks_.log(r);
}

} // namespace agatebank
