#include <agatebank/core/probation_targets.hpp>
#include <agatebank/fleet/crash_containment.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace agatebank
{

namespace
{

/// The platform allows to fail a task after two crashes.
constexpr std::size_t crashes_to_fail = 2;

task_position position_of(const scheduled_job& job, std::size_t step,
                          std::size_t index)
{
    return {job.submission.id, static_cast<uint32_t>(step),
            static_cast<uint32_t>(index)};
}

} // namespace

crash_containment::crash_containment(log_sink log) : log_(std::move(log)) {}

// targets

void crash_containment::put_target()
{
    probation_targets_.clear();
}

void crash_containment::remove_target(agent_incarnation agent)
{
    probation_targets_.clear();
    isolated_orders_.erase(agent);
}

const std::set<agent_incarnation>&
crash_containment::probation_targets(const service_name& service,
                                     const target_map& targets)
{
    const auto [it, is_new] = probation_targets_.try_emplace(service);
    if (is_new)
    {
        it->second = select_probation_targets(agents_of(targets, service));
    }
    return it->second;
}

// orders

void crash_containment::add_isolated_order(agent_incarnation agent,
                                           order_id order)
{
    isolated_orders_[agent] = order;
}

void crash_containment::remove_order(agent_incarnation agent, order_id order)
{
    const auto it = isolated_orders_.find(agent);
    if (it != isolated_orders_.end() && it->second == order)
    {
        isolated_orders_.erase(it);
    }
}

// reports

std::vector<crash_report>
crash_containment::on_crashes(const std::vector<crash_report>& reports,
                              time_point now)
{
    std::set<route_name> routes;
    for (const auto& it : reports)
    {
        routes.insert(it.route);
    }
    std::map<route_name, bool> before;
    for (const auto& it : routes)
    {
        before[it] = history_.on_probation(it, now);
    }
    auto added = history_.merge(reports, now);
    for (const auto& it : routes)
    {
        if (!before[it] && history_.on_probation(it, now))
        {
            log_record r;
            r.level = log_level::warning;
            r.text = "route " + it.value() +
                     " is on probation: a task of it crashed targets; its jobs "
                     "start with one task, on a third of the targets";
            r.step = "crash";
            log_(r);
        }
    }
    return added;
}

void crash_containment::expire(time_point now)
{
    history_.expire(now);
}

// decisions

bool crash_containment::apply_history(scheduled_job& job, time_point now) const
{
    const bool on_probation =
        history_.on_probation(job.submission.matched_route.name, now);
    for (std::size_t i = 0; i < job.steps.size(); ++i)
    {
        for (std::size_t k = 0; k < job.steps[i].tasks.size(); ++k)
        {
            auto& task = job.steps[i].tasks[k];
            const auto standing =
                history_.standing(position_of(job, i, k), now);
            if (standing == crash_standing::proven)
            {
                return false;
            }
            task.isolated = standing == crash_standing::suspect ||
                            (standing == crash_standing::hit && on_probation);
            if (!on_probation || task.state != task_state::waiting)
            {
                continue;
            }
            if (!job.first_task_pending)
            {
                job.first_task_pending = true;
                task.isolated = true;
                continue;
            }
            task.state = task_state::blocked;
            --job.waiting_tasks;
        }
    }
    return true;
}

target_limits crash_containment::limits_of(const scheduled_task& task,
                                           const placement_request& request,
                                           const target_map& targets,
                                           time_point now)
{
    const auto& probation = probation_targets(request.service, targets);
    target_limits limits;
    if (!task.isolated)
    {
        limits.reserved =
            history_.has_probation(request.service, now) ? &probation : nullptr;
        return limits;
    }
    const auto fits = [&](agent_incarnation a)
    {
        const auto& t = targets.at(a);
        const auto& label = request.step->required_label;
        return t.profile().capacity.can_fit(request.step->task_resources) &&
               (label.empty() || t.has_label(label));
    };
    if (std::any_of(probation.begin(), probation.end(), fits))
    {
        auto& free = limits.allowed.emplace();
        std::copy_if(probation.begin(), probation.end(),
                     std::inserter(free, free.end()),
                     [this](agent_incarnation a)
                     { return isolated_orders_.count(a) == 0; });
    }
    return limits;
}

std::ptrdiff_t
crash_containment::usable_probation_targets(const service_name& service,
                                            const target_map& targets)
{
    const auto& probation = probation_targets(service, targets);
    return std::count_if(probation.begin(), probation.end(),
                         [&targets](agent_incarnation a)
                         { return targets.at(a).load().accepts_work; });
}

std::optional<crash_verdict>
crash_containment::on_target_lost(scheduled_job& job, uint32_t step,
                                  uint32_t index, time_point now) const
{
    const auto position = position_of(job, step, index);
    const auto standing = history_.standing(position, now);
    const bool on_probation =
        history_.on_probation(job.submission.matched_route.name, now);
    if (standing == crash_standing::proven)
    {
        return crash_verdict{
            result_after_crashes(job),
            "given up, " + std::to_string(history_.losses(position)) +
                " targets were lost while task " + std::to_string(index) +
                " of step " + std::to_string(step) + " was there, " +
                std::to_string(history_.confirmed_crashes(position)) +
                " certainly by a crash"};
    }
    if (on_probation && history_.crashed_alone(position))
    {
        // A second crash would take another probation target from the jobs
        // that are harmless.
        return crash_verdict{
            job_result::abandoned,
            "given up, a task crashed its target while it ran alone, and "
            "others of its route have done so"};
    }
    job.steps[step].tasks[index].isolated =
        standing == crash_standing::suspect ||
        (standing == crash_standing::hit && on_probation);
    return std::nullopt;
}

job_result
crash_containment::result_after_crashes(const scheduled_job& job) const
{
    auto result = any_task_may_have_run(job) ? job_result::abandoned
                                             : job_result::not_run;
    for (std::size_t i = 0; i < job.steps.size(); ++i)
    {
        for (std::size_t k = 0; k < job.steps[i].tasks.size(); ++k)
        {
            const auto position = position_of(job, i, k);
            if (history_.confirmed_crashes(position) >= crashes_to_fail)
            {
                return job_result::failed;
            }
            if (history_.losses(position) > 0)
            {
                result = job_result::abandoned;
            }
        }
    }
    return result;
}

// lookup

bool crash_containment::has_losses(const scheduled_job& job) const
{
    for (std::size_t i = 0; i < job.steps.size(); ++i)
    {
        for (std::size_t k = 0; k < job.steps[i].tasks.size(); ++k)
        {
            if (history_.losses(position_of(job, i, k)) > 0)
            {
                return true;
            }
        }
    }
    return false;
}

bool crash_containment::is_proven(const task_position& task,
                                  time_point now) const
{
    return history_.standing(task, now) == crash_standing::proven;
}

const crash_history& crash_containment::history() const noexcept
{
    return history_;
}

} // namespace agatebank
