#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <algorithm>
#include <vector>

// Admission under overload: load shedding, and the errors of past forecasts.

namespace agatebank
{

namespace
{

// Returns the number of steps of a plan that run one after another. A step
// names only steps before it.
std::size_t longest_chain_steps(const job_plan& plan)
{
    std::vector<std::size_t> length(plan.steps.size(), 1);
    std::size_t longest = 1;
    for (std::size_t i = 0; i < plan.steps.size(); ++i)
    {
        for (const auto k : plan.steps[i].after)
        {
            length[i] = std::max(length[i], length[k] + 1);
        }
        longest = std::max(longest, length[i]);
    }
    return longest;
}

} // namespace

std::optional<std::string>
job_scheduler::reason_to_shed(const job_record& job,
                              const admission_input& admission, time_point now)
{
    if (!options_.shed_load)
    {
        return std::nullopt;
    }
    const auto& r = job.submission.matched_route;
    shedding_input input;
    input.expected_finish = admission.expected_finish;
    input.objective = admission.objective;
    input.latest_useful = admission.latest_useful;
    input.band = to_band(r.priority);
    input.utilisation = service_utilisation(targets_, r.service);
    input.error = forecast_error_.error(r.service, input.band, now);
    input.demand = demand_.demand(r.name, now);
    input.own_delay =
        static_cast<int64_t>(longest_chain_steps(job.submission.plan)) *
            own_delay_.order_delay(now) +
        own_delay_.loop_lag(now);
    const auto verdict = decide_shedding(input);
    demand_.on_decision(r.name, verdict == shedding_verdict::serve, now);
    if (verdict == shedding_verdict::serve)
    {
        return std::nullopt;
    }
    const bool shed = verdict == shedding_verdict::shed;
    ++(shed ? counts_.shed : counts_.refused_as_useless);
    const auto percent = [](double share)
    {
        return std::to_string(static_cast<int>(100 * share)) + " %";
    };
    return std::string(shed ? "shed, would be late while the service is "
                              "overloaded"
                            : "answer would be useless") +
           "; expected to finish in " + to_ms_text(admission.expected_finish) +
           ", corrected " + to_ms_text(corrected_finish(input)) +
           ", of which own delay " + to_ms_text(input.own_delay) +
           ", objective " + to_ms_text(admission.objective) + ", useful for " +
           to_ms_text(admission.latest_useful) + ", late in the last second " +
           percent(input.error.late_share) + " of " +
           std::to_string(input.error.jobs) + " jobs, targets used at " +
           percent(input.utilisation) + ", band " + std::to_string(input.band) +
           ", route " + r.name.value() + " at " +
           std::to_string(static_cast<int>(input.demand.rate)) +
           " jobs/s, usually " +
           std::to_string(static_cast<int>(input.demand.usual_rate)) +
           " jobs/s, served " +
           percent(input.demand.admitted / std::max(1.0, input.demand.offered));
}

bool job_scheduler::had_faults(const job_record& job)
{
    const auto is_faulty = [](const task_record& t)
    {
        return t.stalls > 0 || t.failures > 0 || t.lost_until != time_point();
    };
    return std::any_of(
        job.steps.begin(), job.steps.end(),
        [&is_faulty](const step_record& s)
        { return std::any_of(s.tasks.begin(), s.tasks.end(), is_faulty); });
}

void job_scheduler::on_loop_lag(duration lag, time_point now)
{
    own_delay_.on_loop_lag(lag, now);
}

void job_scheduler::observe_own_delay(job_record& job, const order_ref& ref,
                                      const order_result& end, time_point now)
{
    auto& step = job.steps[ref.step];
    const auto delay = std::max(
        duration(0), now - step.tasks[ref.index].ordered_at -
                         duration(end.queued_us) - duration(end.run_us));
    own_delay_.on_run_end(delay, now);
    duration before{};
    for (const auto i : job.submission.plan.steps[ref.step].after)
    {
        before = std::max(before, job.steps[i].own_delay);
    }
    // The run that ends last decides the end of the job.
    step.own_delay = before + delay;
    job.own_delay = step.own_delay;
}

void job_scheduler::observe_end(const job_record& job, job_result result,
                                time_point now)
{
    if (result == job_result::failed || job.held || had_faults(job))
    {
        return;
    }
    auto took = now - job.arrived;
    const auto order_delay = own_delay_.order_delay(now);
    // A job that was given up has an order whose end was not reported.
    const bool done = result == job_result::succeeded;
    const auto own_delay =
        done ? job.own_delay : std::max(job.own_delay, order_delay);
    if (!done)
    {
        took = std::max(took, job.useful_until - job.arrived);
    }
    // What a slow entry adds is no error of the targets.
    took -= order_delay.count() > 0 ? own_delay : duration(0);
    forecast_error_.on_end(job.submission.matched_route.service,
                           to_band(job.submission.matched_route.priority),
                           job.expected_finish, took,
                           job.arrived + took > job.objective, now);
}

} // namespace agatebank
