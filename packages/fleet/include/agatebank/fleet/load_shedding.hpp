#pragma once

#include <agatebank/core/route_table.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/fleet/forecast_correction.hpp>
#include <agatebank/fleet/target_load_tracker.hpp>

#include <cstdint>
#include <map>

namespace agatebank
{

/// @brief The demand of one route at an entry, in jobs with decaying weight.
struct route_demand
{
    double offered = 0;    ///< within about the last second
    double admitted = 0;   ///< of these
    double usual_rate = 0; ///< jobs/s over about the last ten seconds
    double rate = 0;       ///< jobs/s over about the last second
};

/// @brief What is known of an arriving job whose tasks all have a target.
/// Times are relative to now.
struct shedding_input
{
    duration expected_finish{}; ///< with queueing, uncorrected
    duration objective{};
    duration latest_useful{};
    std::size_t band = 0;
    double utilisation = 0; ///< of the service's targets, with queued work
    forecast_error error;   ///< of its service
    duration own_delay{};   ///< that the entry adds, not in expected_finish
    route_demand demand;    ///< of its route, without this job
};

/// @brief Whether a job is served, and why not.
enum class shedding_verdict : uint8_t
{
    serve,
    useless, ///< its answer is not expected to be useful
    shed     ///< it would be late, and others would be late for it
};

/// @brief Returns the share of the processors of a service's targets that
/// running and queued tasks need, as last reported. Targets that accept no work
/// or are suspect don't count.
/// @complexity linear in the targets
double service_utilisation(const target_map& targets,
                           const service_name& service);

/// @brief Decides whether a whole job is served.
///
/// Load pattern: a burst that loads a service to 25 % over its capacity. If
/// every job is served that can still be useful, the queue grows until all are
/// late. A job that is late earns a fifth and needs the same work.
///
/// A job that is expected to be on time, without the entry's own delay, is
/// always served, so that short tasks pass while long ones wait. Refusing a job
/// that only the entry delays would free no target that others wait for. While
/// the targets are full and many jobs of the service are late, a job that would
/// be late is refused, unless its route has got less than its minimum share.
/// The minimum is lower for less urgent bands, and counts at most the route's
/// usual rate, so that a route that floods the service bears the refusals
/// itself.
shedding_verdict decide_shedding(const shedding_input& input);

/// @brief Returns the expected time to the end of a job, corrected for the
/// error of the latest forecasts, with the entry's own delay.
duration corrected_finish(const shedding_input& input);

/// @brief Tracks the demand of the routes of an entry.
class demand_tracker
{
  public:
    // modifiers
    void on_decision(const route_name& route, bool admitted, time_point now);

    // lookup
    route_demand demand(const route_name& route, time_point now) const;

  private:
    struct route_state
    {
        double offered = 0;
        double admitted = 0;
        double long_offered = 0;
        time_point since; ///< first job
        time_point at;    ///< of the figures
    };

    static route_state decayed(route_state r, time_point now);

    std::map<route_name, route_state> routes_;
};

} // namespace agatebank
