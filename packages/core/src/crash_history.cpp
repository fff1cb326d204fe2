#include <agatebank/core/crash_history.hpp>

#include <algorithm>
#include <chrono>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// A route stays on probation for this long after the latest crash that one of
/// its tasks is known to have caused; several times as long as a crashed target
/// stays away, while which no crash can be seen there.
constexpr duration probation_period = 10s;
/// Callers that submit a job again do so within seconds.
constexpr duration retention = 60s;
/// Limit on the remembered tasks, to bound memory; the oldest are forgotten.
constexpr std::size_t max_tasks = 4096;
constexpr std::size_t suspect_losses = 2;
/// The tasks of one job start at about the same time on several targets, so one
/// of them starts last more often than a single task does.
constexpr std::size_t suspect_job_losses = 3;
/// A route is taken for the cause of a series of losses if a task of it had
/// started last at so many of them, which is most of all losses of the period.
/// Targets that are lost at the same moment are one event, not a series.
constexpr duration series_period = 3s;
constexpr duration min_series_duration = 250ms;
constexpr std::size_t min_series_losses = 3;
constexpr double min_series_share = 0.66;
/// The platform allows to give up a task after two crashes, and requires it
/// soon after three.
constexpr std::size_t proven_losses_with_isolation = 2;
constexpr std::size_t proven_losses = 3;

} // namespace

// modifiers

std::vector<crash_report>
crash_history::merge(const std::vector<crash_report>& reports, time_point now)
{
    std::vector<crash_report> added;
    std::vector<crash_report> confirmed;
    for (const auto& it : reports)
    {
        auto& task = tasks_[it.task];
        const auto [known, is_new] = task.losses.emplace(it.loss, it);
        if (!is_new && it.confirmed && !known->second.confirmed)
        {
            known->second.confirmed = true;
            confirmed.push_back(it);
        }
        if (is_new)
        {
            task.route = it.route;
            task.latest = now;
            auto& loss = losses_[it.loss];
            loss.routes.insert(it.route);
            if (it.started_last)
            {
                loss.last_routes.insert(it.route);
            }
            added.push_back(it);
            if (it.isolated)
            {
                begin_probation(it, now);
            }
            else if (it.started_last)
            {
                recent_losses_.try_emplace(it.loss, now);
            }
        }
    }
    for (const auto& it : added)
    {
        if (is_explained(it.loss, it.route, now))
        {
            continue;
        }
        const bool last_repeatedly =
            it.started_last &&
            ((last_started_losses(it.task, now) >= suspect_losses &&
              !is_accompanied(it.task, now)) ||
             last_started_losses(it.task.job, now) >= suspect_job_losses ||
             causes_series(it.route, now));
        if (last_repeatedly)
        {
            begin_probation(it, now);
        }
    }
    if (tasks_.size() > max_tasks)
    {
        expire(now);
    }
    added.insert(added.end(), confirmed.begin(), confirmed.end());
    return added;
}

void crash_history::begin_probation(const crash_report& cause, time_point now)
{
    probations_[cause.route] = {cause.service, now + probation_period};
}

bool crash_history::is_explained(const target_loss_id& loss,
                                 const route_name& route, time_point now) const
{
    const auto& routes = losses_.at(loss).routes;
    return std::any_of(routes.begin(), routes.end(),
                       [&](const route_name& other)
                       { return other != route && on_probation(other, now); });
}

bool crash_history::has_started_last(const target_loss_id& loss,
                                     const route_name& route) const
{
    const auto& routes = losses_.at(loss).last_routes;
    return routes.size() == 1 && routes.contains(route);
}

bool crash_history::is_accompanied(const task_position& task,
                                   time_point now) const
{
    const auto& record = tasks_.at(task);
    std::vector<target_loss_id> losses;
    for (const auto& [id, report] : record.losses)
    {
        if (has_started_last(id, record.route) &&
            !is_explained(id, record.route, now))
        {
            losses.push_back(id);
        }
    }
    return std::any_of(
        tasks_.begin(), tasks_.end(),
        [&](const auto& other)
        {
            const auto& others = other.second;
            const auto shared =
                std::count_if(losses.begin(), losses.end(),
                              [&others](const auto& id)
                              { return others.losses.contains(id); });
            return others.route != record.route &&
                   shared >= static_cast<std::ptrdiff_t>(suspect_losses);
        });
}

std::size_t crash_history::last_started_losses(const task_position& task,
                                               time_point now) const
{
    const auto& record = tasks_.at(task);
    return static_cast<std::size_t>(
        std::count_if(record.losses.begin(), record.losses.end(),
                      [&](const auto& loss)
                      {
                          return loss.second.started_last &&
                                 has_started_last(loss.first, record.route) &&
                                 !is_explained(loss.first, record.route, now);
                      }));
}

std::size_t crash_history::last_started_losses(const std::string& job,
                                               time_point now) const
{
    std::set<target_loss_id> losses;
    for (auto it = tasks_.lower_bound({job, 0, 0});
         it != tasks_.end() && it->first.job == job; ++it)
    {
        for (const auto& [id, report] : it->second.losses)
        {
            if (report.started_last && report.confirmed &&
                has_started_last(id, report.route) &&
                !is_explained(id, report.route, now))
            {
                losses.insert(id);
            }
        }
    }
    return losses.size();
}

bool crash_history::causes_series(const route_name& route, time_point now)
{
    std::erase_if(recent_losses_, [now](const auto& it)
                  { return now - it.second > series_period; });
    std::size_t losses = 0;
    time_point first = now;
    for (const auto& [id, at] : recent_losses_)
    {
        if (has_started_last(id, route))
        {
            ++losses;
            first = std::min(first, at);
        }
    }
    return losses >= min_series_losses && now - first >= min_series_duration &&
           static_cast<double>(losses) >=
               min_series_share * static_cast<double>(recent_losses_.size());
}

void crash_history::expire(time_point now)
{
    std::erase_if(tasks_, [now](const auto& it)
                  { return now - it.second.latest > retention; });
    while (tasks_.size() > max_tasks)
    {
        tasks_.erase(
            std::min_element(tasks_.begin(), tasks_.end(),
                             [](const auto& a, const auto& b)
                             { return a.second.latest < b.second.latest; }));
    }
    std::set<target_loss_id> used;
    for (const auto& [position, task] : tasks_)
    {
        for (const auto& [loss, report] : task.losses)
        {
            used.insert(loss);
        }
    }
    std::erase_if(losses_, [&used](const auto& it)
                  { return used.count(it.first) == 0; });
    std::erase_if(recent_losses_, [&used](const auto& it)
                  { return used.count(it.first) == 0; });
    std::erase_if(probations_,
                  [now](const auto& it) { return it.second.until <= now; });
}

// lookup

std::size_t crash_history::unexplained_losses(const task_record& task,
                                              time_point now) const
{
    const auto is_unexplained = [&](const auto& it)
    {
        return !is_explained(it.first, task.route, now);
    };
    return static_cast<std::size_t>(
        std::count_if(task.losses.begin(), task.losses.end(), is_unexplained));
}

crash_standing crash_history::standing(const task_position& task,
                                       time_point now) const
{
    const auto n = losses(task);
    if (n == 0)
    {
        return crash_standing::clear;
    }
    const bool alone = crashed_alone(task);
    if (n >= proven_losses || (alone && n >= proven_losses_with_isolation))
    {
        return crash_standing::proven;
    }
    return alone || unexplained_losses(tasks_.at(task), now) >= suspect_losses
               ? crash_standing::suspect
               : crash_standing::hit;
}

std::size_t crash_history::losses(const task_position& task) const
{
    const auto it = tasks_.find(task);
    return it == tasks_.end() ? 0 : it->second.losses.size();
}

std::size_t crash_history::confirmed_crashes(const task_position& task) const
{
    const auto it = tasks_.find(task);
    return it == tasks_.end()
               ? 0
               : static_cast<std::size_t>(std::count_if(
                     it->second.losses.begin(), it->second.losses.end(),
                     [](const auto& loss) { return loss.second.confirmed; }));
}

bool crash_history::crashed_alone(const task_position& task) const
{
    const auto it = tasks_.find(task);
    return it != tasks_.end() &&
           std::any_of(it->second.losses.begin(), it->second.losses.end(),
                       [](const auto& loss) { return loss.second.isolated; });
}

bool crash_history::on_probation(const route_name& route, time_point now) const
{
    const auto it = probations_.find(route);
    return it != probations_.end() && now < it->second.until;
}

bool crash_history::has_probation(const service_name& service,
                                  time_point now) const
{
    return std::any_of(probations_.begin(), probations_.end(),
                       [&](const auto& it) {
                           return it.second.service == service &&
                                  now < it.second.until;
                       });
}

std::vector<crash_report> crash_history::reports() const
{
    std::vector<crash_report> out;
    for (const auto& [position, task] : tasks_)
    {
        for (const auto& [loss, report] : task.losses)
        {
            out.push_back(report);
        }
    }
    return out;
}

} // namespace agatebank
