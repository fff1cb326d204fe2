#pragma once

#include <agatebank/core/crash_report.hpp>
#include <agatebank/core/units.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace agatebank
{

/// @brief What the crashes of a task's targets say about the task.
enum class crash_standing : uint8_t
{
    clear,   ///< no target crashed while it ran there
    hit,     ///< a crash that another task may explain
    suspect, ///< it should run alone, so that its next crash proves the cause
    proven   ///< it crashes its targets and must not run again
};

/// @brief Remembers which tasks were running at targets that crashed, and
/// which routes are on probation. All agents report to the entries, and the
/// entries to each other, so the memory outlives an entry, and a job that is
/// submitted again to another one.
///
/// Load pattern: a share of the jobs of one route crash each target that starts
/// them. Retrying each of them a fixed number of times would still keep all
/// targets away: 3.3 such jobs a second with two crashes of 3.2 s each are 21
/// targets. Hence the route is put on probation; see job_scheduler for what
/// that means. The reason is a target that crashed while a task of the route
/// was alone there, a task that had started last at two crashes while no task
/// of another route was at both, a job whose tasks had started last at three,
/// or a series of crashes at most of which a task of the route had started
/// last. A crash at which tasks of several routes had started last accuses none
/// of them.
///
/// Losses at which a task of another route on probation was present accuse no
/// further route.
///
/// A task is suspect after two crashes, or one while it was alone. A crash at
/// which a task of another route on probation was present does not count, as
/// that task explains it. Two crashes accuse no route: while targets crash
/// every 100 ms, many harmless tasks are hit twice.
class crash_history
{
  public:
    // modifiers
    /// @brief Adds reports. A loss that was known may be confirmed later.
    /// @return the reports that were not known, or not confirmed
    std::vector<crash_report> merge(const std::vector<crash_report>& reports,
                                    time_point now);
    /// @brief Forgets what is older than the retention.
    void expire(time_point now);

    // lookup
    crash_standing standing(const task_position& task, time_point now) const;
    /// @brief Number of targets that were lost while a task ran there.
    std::size_t losses(const task_position& task) const;
    /// @brief Number of targets that are known to have crashed after the task
    /// had started there.
    std::size_t confirmed_crashes(const task_position& task) const;
    /// @brief Whether a target was lost while this task alone ran there.
    bool crashed_alone(const task_position& task) const;
    bool on_probation(const route_name& route, time_point now) const;
    /// @brief Whether any route of a service is on probation.
    bool has_probation(const service_name& service, time_point now) const;
    /// @brief All that is remembered, for an entry that has just started.
    std::vector<crash_report> reports() const;

  private:
    struct task_record
    {
        route_name route;
        std::map<target_loss_id, crash_report> losses;
        time_point latest;
    };
    struct loss_record
    {
        std::set<route_name> routes;      ///< of the tasks that were there
        std::set<route_name> last_routes; ///< of those that had started last
    };
    struct probation_record
    {
        service_name service;
        time_point until;
    };

    std::size_t unexplained_losses(const task_record& task,
                                   time_point now) const;
    void begin_probation(const crash_report& cause, time_point now);
    /// @brief Number of losses at which a task had started last.
    std::size_t last_started_losses(const task_position& task,
                                    time_point now) const;
    /// @brief Number of confirmed losses at which a task of a job had started
    /// last.
    std::size_t last_started_losses(const std::string& job,
                                    time_point now) const;
    /// @brief Whether a task of another route on probation was at a loss.
    bool is_explained(const target_loss_id& loss, const route_name& route,
                      time_point now) const;
    /// @brief Whether only tasks of a route had started last at a loss.
    bool has_started_last(const target_loss_id& loss,
                          const route_name& route) const;
    /// @brief Whether a task of another route was at two of the losses at which
    /// a task had started last, so that either may be the cause. This is so
    /// where tasks of a crashed target were placed together again.
    bool is_accompanied(const task_position& task, time_point now) const;
    /// @brief Whether the latest losses have a route's tasks as their cause.
    bool causes_series(const route_name& route, time_point now);

    std::map<task_position, task_record> tasks_;
    std::map<target_loss_id, loss_record> losses_;
    /// losses with a task that had started last, by when they were reported
    std::map<target_loss_id, time_point> recent_losses_;
    std::map<route_name, probation_record> probations_;
};

} // namespace agatebank
