#include <agatebank/core/duration_math.hpp>
#include <agatebank/core/probation_targets.hpp>
#include <agatebank/fleet/crash_containment.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <numeric>
#include <utility>

namespace agatebank
{

namespace
{

/// The platform allows to fail a task after two crashes.
constexpr std::size_t crashes_to_fail = 2;
/// Time after which the crashes of a route on probation can be estimated.
constexpr std::chrono::seconds min_evidence_time{1};
/// Runs of tasks that were alone and harmless before crashes among other tasks
/// are ignored. While all probation targets are away no crash can be seen, so
/// time alone is no evidence that a route is harmless.
constexpr std::size_t min_harmless_runs = 20;
constexpr std::chrono::milliseconds resize_period{250};
/// Time in which the tasks of a lost target are placed again: the grace of an
/// agent whose link was lost, and a little more.
constexpr std::chrono::seconds replacement_period{2};
/// Shortest interval between two log lines about the size of one probation.
constexpr std::chrono::seconds size_log_period{1};

// Work of the tasks that run or wait at a target, in targets.
double busy_share(const target_load_tracker& t)
{
    const auto capacity = t.profile().capacity.cpu_millis;
    const auto& queued = t.load().queued_cpu_millis;
    const auto taken =
        std::accumulate(queued.begin(), queued.end(), t.load().used.cpu_millis);
    return capacity > 0
               ? static_cast<double>(taken) / static_cast<double>(capacity)
               : 0;
}

std::string to_text(double value)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.2f", value);
    return buf.data();
}

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

void crash_containment::set_accepting(agent_incarnation agent, bool accepting,
                                      time_point now)
{
    estimator_.set_accepting(agent, accepting, now);
}

void crash_containment::remove_target(agent_incarnation agent)
{
    probation_targets_.clear();
    isolated_orders_.erase(agent);
    estimator_.remove_target(agent);
}

// jobs

void crash_containment::on_arrival(const arriving_job& job, time_point now)
{
    estimator_.on_arrival(job, now);
}

void crash_containment::on_admitted(const route_name& route, time_point now)
{
    estimator_.on_admitted(route, now);
}

const std::set<agent_incarnation>&
crash_containment::probation_targets(const service_name& service,
                                     const target_map& targets)
{
    const auto [it, is_new] = probation_targets_.try_emplace(service);
    if (is_new)
    {
        const auto agents = agents_of(targets, service);
        std::size_t n = 0;
        bool undecided = true;
        for (const auto& [route, record] : probations_)
        {
            if (record.service == service && record.size)
            {
                n += record.size->targets;
                undecided = false;
            }
        }
        it->second = select_probation_targets(
            agents, undecided
                        ? initial_probation_targets(agents.size())
                        : std::min(n, max_probation_targets(agents.size())));
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

void crash_containment::on_isolated_end(const route_name& route)
{
    const auto it = probations_.find(route);
    if (it != probations_.end())
    {
        ++it->second.harmless_runs;
    }
}

void crash_containment::add_replacement(agent_incarnation lost,
                                        agent_incarnation chosen,
                                        time_point now)
{
    auto& record = replacements_.try_emplace(lost).first->second;
    if (now - record.at > replacement_period)
    {
        record = {now, {}};
    }
    record.targets.insert(chosen);
}

std::set<agent_incarnation>
crash_containment::replacements(agent_incarnation lost, time_point now) const
{
    const auto it = replacements_.find(lost);
    return it != replacements_.end() &&
                   now - it->second.at <= replacement_period
               ? it->second.targets
               : std::set<agent_incarnation>();
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
    estimator_.on_crashes(added, now);
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
    for (const auto& it : added)
    {
        if (history_.on_probation(it.route, now) &&
            probations_
                .try_emplace(it.route,
                             probation_record{it.service, now, {}, {}, 0})
                .second)
        {
            probation_targets_.clear();
            next_resize_ = now;
        }
    }
    return added;
}

void crash_containment::expire(time_point now)
{
    history_.expire(now);
    std::erase_if(replacements_, [now](const auto& it)
                  { return now - it.second.at > replacement_period; });
}

// decisions

void crash_containment::resize(const target_map& targets, std::size_t entries,
                               time_point now)
{
    if (probations_.empty() || now < next_resize_)
    {
        return;
    }
    next_resize_ = now + resize_period;
    const auto ended =
        std::erase_if(probations_, [&](const auto& it)
                      { return !history_.on_probation(it.first, now); });
    if (ended != 0)
    {
        probation_targets_.clear();
    }
    for (auto& [route, record] : probations_)
    {
        resize_one(route, record, targets, entries, now);
    }
}

void crash_containment::resize_one(const route_name& route,
                                   probation_record& record,
                                   const target_map& targets,
                                   std::size_t entries, time_point now)
{
    auto in = estimator_.estimate(route, entries,
                                  now - record.since >= min_evidence_time &&
                                      record.harmless_runs >= min_harmless_runs,
                                  now);
    const auto& probation = probation_targets(record.service, targets);
    for (const auto& [agent, t] : targets)
    {
        if (t.profile().service != record.service)
        {
            continue;
        }
        const bool accepts = t.load().accepts_work;
        ++in.targets;
        in.away_targets += !accepts && probation.count(agent) == 0 ? 1 : 0;
        in.busy_targets += accepts ? busy_share(t) : 0;
    }
    auto size = size_probation(in);
    if (now - record.since < min_evidence_time)
    {
        // The rate is not known, but what others can spare is.
        size.targets = std::clamp<std::size_t>(
            size.targets, 1, initial_probation_targets(in.targets));
    }
    if (record.size && record.size->targets == size.targets)
    {
        return;
    }
    const bool contained = !record.size || record.size->targets > 0;
    record.size = size;
    probation_targets_.clear();
    if (contained == (size.targets > 0) &&
        now - record.logged < size_log_period)
    {
        return;
    }
    record.logged = now;
    log_record r;
    r.level = log_level::warning;
    r.text =
        "probation of route " + route.value() + " takes " +
        std::to_string(size.targets) + " of " + std::to_string(in.targets) +
        " targets, of which " + std::to_string(in.away_targets) +
        " others are away; expected to refuse " + to_text(size.refused_share) +
        " of its jobs and to lose " + to_text(size.containment_loss) +
        " of the service's value, crashes would lose " +
        to_text(size.crash_loss) + "; crashing jobs " +
        to_text(in.crashing_jobs_per_s) + "/s of " + to_text(in.jobs_per_s) +
        "/s, " + to_text(in.crashes_per_job) +
        " crashes each, targets away for " + to_ms_text(in.time_away) +
        ", busy targets " + to_text(in.busy_targets) + ", share of the work " +
        to_text(in.work_share);
    r.step = "crash";
    log_(r);
}

bool crash_containment::apply_history(scheduled_job& job, time_point now) const
{
    const bool on_probation =
        is_contained(job.submission.matched_route.name, now);
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
        (standing == crash_standing::hit &&
         is_contained(job.submission.matched_route.name, now));
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

bool crash_containment::is_contained(const route_name& route,
                                     time_point now) const
{
    if (!history_.on_probation(route, now))
    {
        return false;
    }
    const auto it = probations_.find(route);
    return it == probations_.end() || !it->second.size ||
           it->second.size->targets > 0;
}

bool crash_containment::has_contained(const service_name& service,
                                      time_point now) const
{
    return std::any_of(probations_.begin(), probations_.end(),
                       [&](const auto& it) {
                           return it.second.service == service &&
                                  is_contained(it.first, now);
                       });
}

std::size_t crash_containment::routes_on_probation() const noexcept
{
    return probations_.size();
}

std::size_t crash_containment::reserved_targets() const
{
    std::size_t out = 0;
    for (const auto& it : probation_targets_)
    {
        const bool contains =
            std::any_of(probations_.begin(), probations_.end(),
                        [&it](const auto& probation)
                        {
                            const auto& record = probation.second;
                            return record.service == it.first &&
                                   (!record.size || record.size->targets > 0);
                        });
        out += contains ? it.second.size() : 0;
    }
    return out;
}

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
