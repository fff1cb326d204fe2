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

/// @brief A start that has not been reported.
struct unreported_start
{
    service_name service;
    std::optional<duration> declared;
    work expected{};
};

/// @brief What an entry knows of one target.
struct target_record
{
    target_offer offer;
    unsigned grant = 0;
    double speed = 1;
    int speed_step = 0; ///< logarithm of the speed, in coarse steps
    std::map<task_ref, unreported_start> in_flight;
    std::map<service_name, unsigned> in_flight_of;
    std::optional<int> counted_step; ///< group that counts it, if any

    bool serves(const service_name& service) const;
    /// @brief Whether a credit is free that is not kept for another service.
    bool has_room(const service_name& service) const;

  private:
    unsigned reserved_credits(const slot_reservation& r) const;
    unsigned running(const service_name& service) const;
};

/// @brief Healthy targets of nearly one speed.
struct speed_group
{
    double speed = 1;
    unsigned credits = 0;
    unsigned busy = 0; ///< starts in flight
};

/// @brief The targets of one service, in sums.
struct service_view
{
    std::map<int, speed_group> groups; ///< by speed step
    double granted_speed = 0;          ///< of the credits at healthy targets
    double slots_speed = 0;            ///< of all slots of healthy targets
    double mean_speed = 1;             ///< of a slot
    duration longest_delay{};          ///< one way
    std::set<service_name> sharing;    ///< services with a target in common
};

/// @brief The targets of one entry, with sums by service that are renewed a
/// few times in a hundred milliseconds, so that a decision does not look at
/// every target.
class target_table
{
  public:
    /// @brief Targets with a free credit, the slowest first.
    using ready_set = std::set<std::pair<int, agent_incarnation>>;

    // construction
    target_table(const run_time_estimator& times, const health_monitor& health,
                 bool ejection);

    // modifiers
    void put(const target_offer& offer);
    void set_grant(agent_incarnation agent, unsigned grant);
    /// @brief Forgets a target and its starts.
    void remove(agent_incarnation agent);
    void add_start(target_record& t, task_ref task, unreported_start start);
    std::optional<unreported_start> end_start(target_record& t, task_ref task);
    /// @brief Takes in a newly learned speed. @complexity O(log n)
    void update(target_record& t);
    /// @brief Renews the sums when they are old or a target or a grant has
    /// changed. @complexity O(n) for n targets, else O(1)
    void refresh(time_point now);

    // lookup
    target_record* find(agent_incarnation agent);
    const target_record* find(agent_incarnation agent) const;
    const ready_set& ready() const noexcept
    {
        return ready_;
    }
    const service_view& view(const service_name& service) const;
    std::size_t in_flight() const noexcept
    {
        return in_flight_;
    }

  private:
    void count(const target_record& t, int by);
    void add_to_views(target_record& t, time_point now);
    void renew_sharing();

    const run_time_estimator& times_;
    const health_monitor& health_;
    bool ejection_;
    std::map<agent_incarnation, target_record> targets_;
    ready_set ready_;
    std::map<service_name, service_view> views_;
    std::map<service_name, std::set<service_name>> sharing_;
    time_point renewed_at_;
    bool is_stale_ = true;
    std::size_t in_flight_ = 0;
};

} // namespace agatebank
