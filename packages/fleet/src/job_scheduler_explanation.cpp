#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_explanation.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <algorithm>
#include <limits>
#include <utility>

// Explanation of where a job would go. It submits the job to a copy of the
// scheduler, so that the decision code itself decides.

namespace agatebank
{

namespace
{

// Larger than the key of any running job.
job_key trial_key()
{
    return job_key(std::numeric_limits<uint64_t>::max());
}

// Drops the part of a log line that repeats the verdict.
std::string without_prefix(const std::string& text)
{
    constexpr std::string_view prefix = "job refused: ";
    return text.rfind(prefix, 0) == 0 ? text.substr(prefix.size()) : text;
}

std::string reason_for_admission(const admission_input& input)
{
    const bool on_time = input.expected_finish <= input.objective;
    return std::string("each task that can start has a target, and the "
                       "expected end is ") +
           (on_time ? "by the objective"
                    : "after the objective, but the answer is still useful");
}

template <class Steps>
std::size_t count_tasks(const Steps& steps)
{
    std::size_t out = 0;
    for (const auto& it : steps)
    {
        out += it.tasks.size();
    }
    return out;
}

} // namespace

const char* to_word(job_verdict verdict)
{
    switch (verdict)
    {
    case job_verdict::admitted:
        return "admitted";
    case job_verdict::held:
        return "held";
    case job_verdict::running:
        return "running";
    case job_verdict::no_target:
        return "no_target";
    case job_verdict::evacuated:
        return "evacuated";
    case job_verdict::probation:
        return "probation";
    case job_verdict::useless:
        return "useless";
    case job_verdict::shed:
        return "shed";
    case job_verdict::known_crash:
        break;
    }
    return "known_crash";
}

job_scheduler::job_scheduler(const job_scheduler& other,
                             job_scheduler_hooks hooks)
    : options_(other.options_)
    , hooks_(std::move(hooks))
    , forecast_(other.forecast_)
    , forecast_error_(other.forecast_error_)
    , own_delay_(other.own_delay_)
    , demand_(other.demand_)
    , targets_(other.targets_)
    , containment_(other.containment_)
    , evacuated_(other.evacuated_)
    , latest_discovery_(other.latest_discovery_)
    , last_order_(other.last_order_)
{
    // Of the running jobs, only those that wait for a probation target affect
    // the admission of others.
    for (const auto key : other.waiting_jobs_)
    {
        if (other.jobs_.at(key).first_task_pending)
        {
            jobs_[key].first_task_pending = true;
            waiting_jobs_.insert(key);
        }
    }
}

job_verdict job_scheduler::to_verdict(const job_scheduler& trial,
                                      const job_plan& plan,
                                      const service_name& service,
                                      const job_explanation& explained,
                                      const std::optional<job_outcome>& outcome)
{
    if (!outcome)
    {
        return trial.held_jobs_.empty() ? job_verdict::admitted
                                        : job_verdict::held;
    }
    if (outcome->result != job_result::not_run || !explained.admission)
    {
        return job_verdict::known_crash;
    }
    if (trial.counts_.shed != 0)
    {
        return job_verdict::shed;
    }
    if (explained.admission->has_target)
    {
        return job_verdict::useless;
    }
    if (explained.first_task_alone)
    {
        return job_verdict::probation;
    }
    const bool evacuated = std::any_of(
        plan.steps.begin(), plan.steps.end(),
        [&trial, &service](const step_plan& s)
        {
            return s.after.empty() &&
                   trial.evacuated_.leave_no_target(trial.targets_, service, s);
        });
    return evacuated ? job_verdict::evacuated : job_verdict::no_target;
}

job_explanation job_scheduler::explain(job_submission submission,
                                       time_point now) const
{
    job_explanation out;
    out.known_targets = targets_.size();
    out.evacuated_targets = count_evacuated(targets_);
    if (find(submission.id))
    {
        out.verdict = job_verdict::running;
        out.reason = "a job with this id runs at this entry; a submission "
                     "waits for its outcome";
        return out;
    }
    std::string logged;
    std::optional<job_outcome> outcome;
    job_scheduler trial(
        *this, {[](agent_incarnation, const run_batch&) {},
                [](agent_incarnation, const std::vector<order_id>&) {},
                [&outcome](job_key, const job_outcome& o) { outcome = o; },
                [&logged](const log_record& r) { logged = r.text; },
                hooks_.entry_count});
    trial.observer_.placement =
        [&](const placement_request& request, const task_record& task,
            const std::optional<placement_choice>& choice)
    {
        ++out.startable_tasks;
        out.unplaced_tasks += choice ? 0 : 1;
        if (out.tasks.size() == max_explained_tasks)
        {
            return;
        }
        const auto& job = trial.jobs_.at(trial_key());
        const auto step = static_cast<uint32_t>(
            request.step - job.submission.plan.steps.data());
        const auto index =
            static_cast<uint32_t>(&task - job.steps[step].tasks.data());
        out.tasks.push_back(
            {step, index, task.isolated,
             explain_placement(trial.targets_, request, trial.speeds(), now,
                               max_passed_over_targets)});
    };
    trial.observer_.admission =
        [&out](const job_record& job, const admission_input& input)
    {
        out.admission = input;
        out.first_task_alone = job.first_task_pending;
        out.later_tasks = count_tasks(job.steps) - out.startable_tasks;
    };
    const auto plan = submission.plan;
    const auto service = submission.matched_route.service;
    trial.admit(trial_key(), std::move(submission), now);
    out.verdict = to_verdict(trial, plan, service, out, outcome);
    out.reason = out.verdict == job_verdict::admitted && out.admission
                     ? reason_for_admission(*out.admission)
                     : without_prefix(logged);
    if (outcome)
    {
        out.retry_after = outcome->retry_after;
    }
    return out;
}

} // namespace agatebank
