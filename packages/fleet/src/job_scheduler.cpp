#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_admission.hpp>
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
/// Time that an answer needs to reach its caller; jobs end this long before
/// their deadline.
constexpr duration answer_delivery_time = 20ms;
/// Retry-After of a job that was admitted but could not start in time; 1 s is
/// the shortest value that the header can state.
constexpr duration queue_timeout_retry_after = 1s;
/// Under the terms agreed with the operators, an answer that takes longer than
/// this multiple of the job's objective has no value.
constexpr int useful_objective_multiple = 3;
/// Period in which old crashes are removed from the memory.
constexpr duration crash_expiry_period = 1s;
/// Period in which held jobs are decided again. Each decision looks at all
/// targets, and dozens of them may be discovered within 100 ms.
constexpr duration held_decision_period = 30ms;
/// Time between two runs of this entry on a probation target: the report of an
/// end and the next order.
constexpr duration order_turnaround_time = 20ms;
/// Stalls of a task that are counted. Each multiplies the expected run time of
/// its next attempt by 4, so the factor is at most 4096.
constexpr uint32_t max_counted_stalls = 6;

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
        request.may_wait_near_data = !task.has_waited;
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

void job_scheduler::unblock_after_first_task(job_key key, job_record& job)
{
    job.first_task_pending = false;
    const auto& steps = job.submission.plan.steps;
    for (std::size_t i = 0; i < job.steps.size(); ++i)
    {
        for (auto& task : job.steps[i].tasks)
        {
            if (steps[i].after.empty() && task.state == task_state::blocked)
            {
                task.state = task_state::waiting;
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
             task.returned || task.wait, task.returned ? 0 : max_wait.count()});
    }
    const auto& plan = job.submission.plan;
    for (auto& [agent, batch] : batches)
    {
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

duration job_scheduler::note_locality(scheduled_task& task,
                                      const placement_choice& choice)
{
    if (!choice.locality)
    {
        return duration(0);
    }
    const auto& [input, decision] = *choice.locality;
    const bool waits = decision.action == locality_action::wait_near &&
                       decision.granted.count() > 0;
    if (waits)
    {
        ++counts_.locality_waits;
        task.has_waited = true;
        task.wait = choice.locality;
    }
    if (decision.action == locality_action::run_elsewhere)
    {
        ++counts_.locality_elsewhere;
    }
    return decision.granted;
}

void job_scheduler::settle_wait(const job_record& job, uint32_t index,
                                const locality_choice& wait,
                                const order_result& end)
{
    const duration queued(end.queued_us);
    const duration expected_elsewhere =
        wait.input.elsewhere->start + wait.input.elsewhere->run;
    const bool done = end.outcome == run_outcome::done;
    const auto gain =
        done ? expected_elsewhere - queued - duration(end.run_us) : -queued;
    counts_.locality_waits_given_up += done ? 0 : 1;
    const auto to_ms = [](duration d)
    {
        return static_cast<uint64_t>(d / 1ms);
    };
    counts_.locality_granted_ms += to_ms(wait.decision.granted);
    counts_.locality_waited_ms += to_ms(queued);
    (gain.count() >= 0 ? counts_.locality_gained_ms
                       : counts_.locality_lost_ms) +=
        to_ms(gain.count() >= 0 ? gain : -gain);
    log(log_level::info, job,
        "waited " + to_ms_text(queued) + " near its data, then " +
            to_word(end.outcome) + "; ended " + to_ms_text(gain) +
            " before the expected end elsewhere; " + to_text(wait),
        static_cast<int32_t>(index));
}

void job_scheduler::drop_wait(const job_record& job, uint32_t index,
                              scheduled_task& task, const char* why)
{
    if (const auto wait = std::exchange(task.wait, std::nullopt))
    {
        ++counts_.locality_waits_given_up;
        log(log_level::info, job,
            std::string("order to wait near its data ended: ") + why + "; " +
                to_text(*wait),
            static_cast<int32_t>(index));
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

// admission

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
    if (job.first_task_pending || containment_.has_losses(job))
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
    ++counts_.refused;
    log(log_level::warning, job,
        "job refused: " + why +
            (job.held ? ", was held for targets to be discovered" : "") +
            "; retry after " + to_ms_text(retry_after));
    erase_unadmitted(key, job);
    hooks_.finish(key, {job_result::not_run, retry_after, no_target});
}

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

void job_scheduler::cancel_and_erase(job_key key)
{
    const auto it = jobs_.find(key);
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
    const auto& job = jobs_.at(key);
    observe_end(job, outcome.result, now);
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
    cancel_and_erase(key);
    hooks_.finish(key, outcome);
}

void job_scheduler::cancel(job_key key, const char* why)
{
    const auto it = jobs_.find(key);
    if (it == jobs_.end())
    {
        return;
    }
    ++counts_.cancelled;
    log(log_level::info, it->second, std::string("job cancelled: ") + why);
    cancel_and_erase(key);
}

void job_scheduler::abandon_all(const char* why)
{
    while (!jobs_.empty())
    {
        const auto& [key, job] = *jobs_.begin();
        end_job(key,
                job.held ? job_outcome{job_result::not_run,
                                       queue_timeout_retry_after}
                         : job_outcome{job_result::abandoned, {}},
                why, job.arrived);
    }
}

// ends of runs

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

time_point job_scheduler::last_useful_end(const job_record& job)
{
    return std::min(job.deadline - answer_delivery_time, job.useful_until);
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
    unblock_later_steps(key, job);
    return false;
}

void job_scheduler::unblock_later_steps(job_key key, job_record& job)
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
                task.state = task_state::waiting;
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
    }
    if (end.outcome == run_outcome::done)
    {
        learn_run_time(job, ref.step, agent, end);
        if (job.first_task_pending)
        {
            unblock_after_first_task(ref.job, job);
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
        task.state = task_state::waiting;
        if (handle_target_loss(ref.job, job, ref, now))
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
    task.state = task_state::waiting;
    ++job.waiting_tasks;
    waiting_jobs_.insert(ref.job);
    if (place_waiting(ref.job, job, now))
    {
        waiting_jobs_.erase(ref.job);
    }
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
                    released.push_back({key, i, k});
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
