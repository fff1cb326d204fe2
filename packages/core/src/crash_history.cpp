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
    for (const auto& it : reports)
    {
        auto& task = tasks_[it.task];
        if (task.losses.emplace(it.loss, it).second)
        {
            task.route = it.route;
            task.latest = now;
            routes_at_loss_[it.loss].insert(it.route);
            added.push_back(it);
            if (it.isolated)
            {
                probations_[it.route] = {it.service, now + probation_period};
            }
        }
    }
    if (tasks_.size() > max_tasks)
    {
        expire(now);
    }
    return added;
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
    std::erase_if(routes_at_loss_, [&used](const auto& it)
                  { return used.count(it.first) == 0; });
    std::erase_if(probations_,
                  [now](const auto& it) { return it.second.until <= now; });
}

// lookup

bool crash_history::has_unexplained_loss(const task_record& task,
                                         time_point now) const
{
    const auto is_unexplained = [&](const auto& it)
    {
        const auto& routes = routes_at_loss_.at(it.first);
        return std::none_of(routes.begin(), routes.end(),
                            [&](const route_name& other) {
                                return other != task.route &&
                                       on_probation(other, now);
                            });
    };
    return std::any_of(task.losses.begin(), task.losses.end(), is_unexplained);
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
    return alone || has_unexplained_loss(tasks_.at(task), now)
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
