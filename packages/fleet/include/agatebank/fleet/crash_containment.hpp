#pragma once

#include <agatebank/core/crash_history.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/log.hpp>
#include <agatebank/core/probation_size.hpp>
#include <agatebank/fleet/crash_estimator.hpp>
#include <agatebank/fleet/placement.hpp>
#include <agatebank/fleet/scheduled_job.hpp>
#include <agatebank/fleet/target_load_tracker.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief The targets on which a task may run.
struct target_limits
{
    /// the only targets that may be used; nothing: all
    std::optional<std::set<agent_incarnation>> allowed;
    /// targets kept for tasks that may crash them, to be used only if no other
    /// target can run the task; null: none
    const std::set<agent_incarnation>* reserved = nullptr;
};

/// @brief Why a job is given up, and how it is answered.
struct crash_verdict
{
    job_result result = job_result::abandoned;
    std::string why;
};

/// @brief Decides how an entry limits the damage of tasks that crash their
/// targets: which tasks run alone and where, which tasks wait, and which jobs
/// are given up. Does no I/O and reads no clock.
///
/// Load pattern: a share of the jobs of one route crash each target that starts
/// them. A task that is suspect of crashing its targets runs alone, on one of
/// the few targets of select_probation_targets. A job of a route on probation
/// starts with one task in this way; its other tasks run on the other targets
/// once it is done. Tasks that are known to crash targets fail their job.
class crash_containment
{
  public:
    // construction
    explicit crash_containment(log_sink log);

    // targets
    void put_target();
    void set_accepting(agent_incarnation agent, bool accepting, time_point now);
    void remove_target(agent_incarnation agent);

    // jobs
    void on_arrival(const arriving_job& job, time_point now);
    void on_admitted(const route_name& route, time_point now);

    // orders
    void add_isolated_order(agent_incarnation agent, order_id order);
    void remove_order(agent_incarnation agent, order_id order);

    /// @brief Counts a run that ended well while its task was alone.
    void on_isolated_end(const route_name& route);
    /// @brief Remembers where a task goes whose target was lost.
    void add_replacement(agent_incarnation lost, agent_incarnation chosen,
                         time_point now);
    /// @brief Returns the targets to which tasks of a lost target were sent
    /// again. Another task that was there should go elsewhere: if the target
    /// of one of them crashes too, the others are not hit a second time, and
    /// the cause is known.
    std::set<agent_incarnation> replacements(agent_incarnation lost,
                                             time_point now) const;

    // reports
    /// @brief Remembers which tasks ran at targets that crashed.
    /// @return the reports that were not known
    std::vector<crash_report>
    on_crashes(const std::vector<crash_report>& reports, time_point now);
    /// @brief Forgets crashes that are older than the retention.
    void expire(time_point now);

    // decisions
    /// @brief Weighs, once in a period, what the probation of each route
    /// refuses against what its crashes would take.
    /// @param entries number of entries among which jobs are spread
    void resize(const target_map& targets, std::size_t entries, time_point now);
    /// @brief Sets the tasks of a new job that may not start yet, or must run
    /// alone. @return whether the job may run at all
    bool apply_history(scheduled_job& job, time_point now) const;
    /// @brief Returns the targets for a task: a probation target without such
    /// a task of this entry if it must run alone, else the remaining targets.
    /// The result is valid until the targets change.
    target_limits limits_of(const scheduled_task& task,
                            const placement_request& request,
                            const target_map& targets, time_point now);
    /// @brief Number of probation targets of a service that accept work.
    std::ptrdiff_t usable_probation_targets(const service_name& service,
                                            const target_map& targets);
    /// @brief Decides on a task whose target was lost, and sets whether it runs
    /// alone from now on.
    /// @return why the job is given up; nothing if the task runs again
    std::optional<crash_verdict> on_target_lost(scheduled_job& job,
                                                uint32_t step, uint32_t index,
                                                time_point now) const;
    /// @brief Returns the result of a job that is given up: failed only if a
    /// task of it has certainly crashed two targets.
    job_result result_after_crashes(const scheduled_job& job) const;

    // lookup
    /// @brief Whether jobs of a route start with one task, on probation
    /// targets.
    bool is_contained(const route_name& route, time_point now) const;
    /// @brief Number of routes on probation, contained or not.
    std::size_t routes_on_probation() const noexcept;
    /// @brief Number of probation targets of all contained routes.
    std::size_t reserved_targets() const;
    /// @brief Whether a target was lost while a task of the job was there.
    bool has_losses(const scheduled_job& job) const;
    /// @brief Whether a task is known to crash its targets.
    bool is_proven(const task_position& task, time_point now) const;
    const crash_history& history() const noexcept;

  private:
    struct probation_record
    {
        service_name service;
        time_point since;
        /// nothing until the crashes can be estimated
        std::optional<probation_size> size;
        time_point logged;
        std::size_t harmless_runs = 0; ///< of tasks that ran alone
    };

    struct replacement_record
    {
        time_point at; ///< of the first one
        std::set<agent_incarnation> targets;
    };

    const std::set<agent_incarnation>&
    probation_targets(const service_name& service, const target_map& targets);
    bool has_contained(const service_name& service, time_point now) const;
    void resize_one(const route_name& route, probation_record& record,
                    const target_map& targets, std::size_t entries,
                    time_point now);

    log_sink log_;
    crash_history history_;
    crash_estimator estimator_;
    std::map<route_name, probation_record> probations_;
    time_point next_resize_;
    std::map<service_name, std::set<agent_incarnation>> probation_targets_;
    std::map<agent_incarnation, order_id> isolated_orders_;
    std::map<agent_incarnation, replacement_record> replacements_; ///< by lost
};

} // namespace agatebank
