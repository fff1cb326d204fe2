#pragma once

#include <agatebank/core/crash_report.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/probation_size.hpp>
#include <agatebank/core/units.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A job as it arrives, before it is decided upon.
struct arriving_job
{
    route_name route;
    service_name service;
    double work = 0; ///< core-seconds
    /// time from one first task on a probation target to the next
    duration first_task_time{};
    bool late_on_probation = false; ///< if one task runs before the others
};

/// @brief Estimates how often a route's jobs crash targets, from the crashes
/// that all entries are told of and from the jobs of this entry. Does no I/O
/// and reads no clock.
///
/// While jobs of the route are refused, fewer crashes are seen than would
/// happen. They are scaled by the ratio of this entry's jobs of the route to
/// those that it has started, which is alike at all entries.
///
/// Grows with the routes, and with the crashes of the last 10 s.
class crash_estimator
{
  public:
    // modifiers
    void on_arrival(const arriving_job& job, time_point now);
    void on_admitted(const route_name& route, time_point now);
    void on_crashes(const std::vector<crash_report>& added, time_point now);
    void set_accepting(agent_incarnation agent, bool accepting, time_point now);
    void remove_target(agent_incarnation agent);

    // lookup
    /// @brief Returns what is known of a route, except for the targets.
    /// @param entries number of entries among which jobs are spread
    /// @param isolated_only counts only crashes of tasks that ran alone, which
    /// are certain to be the route's own
    probation_input estimate(const route_name& route, std::size_t entries,
                             bool isolated_only, time_point now) const;

  private:
    /// A count that decays with time.
    struct decaying_sum
    {
        double value = 0;
        time_point at;

        void add(double amount, time_point now);
        double value_at(time_point now) const;
    };
    struct cause_record
    {
        task_position task;
        time_point at;
        bool isolated = false;
    };
    struct route_record
    {
        arriving_job latest;
        decaying_sum arrivals;
        decaying_sum admitted;
        decaying_sum work; ///< core-seconds
        std::deque<cause_record> causes;
    };

    std::map<route_name, route_record> routes_;
    std::map<agent_incarnation, time_point> away_since_;
    duration time_away_;
    bool has_time_away_ = false;
};

} // namespace agatebank
