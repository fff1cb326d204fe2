#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <algorithm>

// Admission under overload: load shedding, and the errors of past forecasts.

namespace agatebank
{

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

void job_scheduler::observe_end(const job_record& job, job_result result,
                                time_point now)
{
    if (result == job_result::failed || job.held || had_faults(job))
    {
        return;
    }
    auto took = now - job.arrived;
    if (result != job_result::succeeded)
    {
        took = std::max(took, job.useful_until - job.arrived);
    }
    forecast_error_.on_end(job.submission.matched_route.service,
                           to_band(job.submission.matched_route.priority),
                           job.expected_finish, took,
                           job.arrived + took > job.objective, now);
}

} // namespace agatebank
