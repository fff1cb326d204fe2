#pragma once

#include <agatebank/core/dispatcher.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/run_time_estimator.hpp>
#include <agatebank/core/target_health.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/core/work_backlog.hpp>

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace agatebank
{

/// @brief A start whose outcome has not been reported.
struct unreported_start
{
    service_name service;
    std::optional<duration> declared;
    work expected{};
};

/// @brief State of one target at an entry.
struct target_record
{
    target_offer offer;
    unsigned grant = 0;
    double speed = 1;
    int speed_step = 0; ///< rounded logarithm of the speed
    std::map<task_ref, unreported_start> in_flight;
    std::map<service_name, unsigned> in_flight_by_service;
    std::optional<int> group_step; ///< speed group that includes it

    bool serves(const service_name& service) const;
    /// @brief Whether a credit is free that is not reserved for another
    /// service.
    bool has_free_credit(const service_name& service) const;

  private:
    unsigned reserved_credits(const slot_reservation& r) const;
    unsigned running(const service_name& service) const;
};

/// @brief Sums over healthy targets of nearly equal speed.
struct speed_group
{
    double speed = 1;
    unsigned credits = 0;
    unsigned busy = 0; ///< starts in flight
};

/// @brief Sums over the targets of one service.
struct service_view
{
    std::map<int, speed_group> groups; ///< by speed step
    double granted_speed = 0;       ///< sum over the credits at healthy targets
    double slots_speed = 0;         ///< sum over all slots of healthy targets
    double mean_speed = 1;          ///< mean over these slots
    duration longest_delay{};       ///< one way
    std::set<service_name> sharing; ///< services that share a target
};

/// @brief The targets of one entry and sums over them by service. The sums are
/// recomputed every 20 ms and after changes, so that a decision need not visit
/// every target.
class target_table
{
  public:
    /// @brief Targets with a free credit, slowest first.
    using ready_set = std::set<std::pair<int, agent_incarnation>>;

    // construction
    target_table(const run_time_estimator& times, const health_monitor& health,
                 bool ejection);

    // modifiers
    void put(const target_offer& offer);
    void set_grant(agent_incarnation agent, unsigned grant);
    /// @brief Removes a target and its starts.
    void remove(agent_incarnation agent);
    void add_start(target_record& t, task_ref task, unreported_start start);
    std::optional<unreported_start> end_start(target_record& t, task_ref task);
    /// @brief Updates a target after its learned speed has changed.
    /// @complexity O(log n)
    void update(target_record& t);
    /// @brief Recomputes the sums if they are at least 20 ms old or a target or
    /// a grant has changed. @complexity O(n) for n targets, otherwise O(1)
    void refresh(time_point now);

    // lookup
    target_record* find(agent_incarnation agent);
    const target_record* find(agent_incarnation agent) const;
    const ready_set& ready() const noexcept
    {
        return ready_;
    }
    /// @brief The agents whose target is offered for a service, also while they
    /// accept no work.
    std::vector<agent_incarnation> agents_of(const service_name& service) const;
    const service_view& view(const service_name& service) const;
    std::size_t in_flight() const noexcept
    {
        return in_flight_;
    }

  private:
    void count(const target_record& t, int by);
    void add_to_views(target_record& t, time_point now);
    void rebuild_sharing();

    const run_time_estimator& times_;
    const health_monitor& health_;
    bool ejection_;
    std::map<agent_incarnation, target_record> targets_;
    ready_set ready_;
    std::map<service_name, service_view> views_;
    std::map<service_name, std::set<service_name>> sharing_;
    time_point refreshed_at_;
    bool is_stale_ = true;
    std::size_t in_flight_ = 0;
};

} // namespace agatebank
