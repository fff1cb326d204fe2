#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/load_shedding.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// Time constants of the present and of the usual demand.
constexpr duration short_time = 1s;
constexpr duration long_time = 10s;
/// Share of late jobs from which a service counts as overloaded. On a calm day
/// up to a tenth is late because of unusual run times.
constexpr double overload_late_share = 0.2;
/// Utilisation from which late jobs are attributed to the load: some work
/// waits, as tasks seldom fill a target completely. Below it, runs that hang or
/// slow targets are the likelier cause.
constexpr double full_utilisation = 1;
/// Share of a route's jobs that is served although they would be late, for
/// band 0, and the difference between neighbouring bands. Each kind of job has
/// to earn 0.35 to 0.44 of its value, the last band included.
constexpr double min_served_share = 0.6;
constexpr double band_share_step = 0.05;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

duration corrected_finish(const shedding_input& input)
{
    // Work that waits delays long and short jobs by like times; a short job's
    // error is bounded by the ratio as well, since its tasks pass long ones.
    return std::min(scale(input.expected_finish, input.error.ratio),
                    input.expected_finish + input.error.delay) +
           input.own_delay;
}

double service_utilisation(const target_map& targets,
                           const service_name& service)
{
    int64_t needed = 0;
    int64_t capacity = 0;
    for (const auto& [agent, t] : targets)
    {
        const auto& load = t.load();
        if (t.profile().service != service || !load.accepts_work ||
            load.suspect)
        {
            continue;
        }
        capacity += t.profile().capacity.cpu_millis;
        needed += load.used.cpu_millis;
        for (const auto it : load.queued_cpu_millis)
        {
            needed += it;
        }
    }
    return capacity == 0
               ? 0
               : static_cast<double>(needed) / static_cast<double>(capacity);
}

shedding_verdict decide_shedding(const shedding_input& input)
{
    if (corrected_finish(input) - input.own_delay <= input.objective)
    {
        return shedding_verdict::serve;
    }
    const double min_share =
        min_served_share - band_share_step * static_cast<double>(input.band);
    const auto& d = input.demand;
    const double flood =
        d.usual_rate > 0 ? std::max(1.0, d.rate / d.usual_rate) : 1;
    const bool below_minimum = d.admitted < min_share * d.offered / flood;
    const bool overloaded = input.utilisation >= full_utilisation &&
                            input.error.late_share >= overload_late_share;
    if (!overloaded || below_minimum)
    {
        return shedding_verdict::serve;
    }
    return corrected_finish(input) > input.latest_useful
               ? shedding_verdict::useless
               : shedding_verdict::shed;
}

demand_tracker::route_state demand_tracker::decayed(route_state r,
                                                    time_point now)
{
    const double age = seconds(now - r.at);
    const double factor = std::exp(-age / seconds(short_time));
    r.offered *= factor;
    r.admitted *= factor;
    r.long_offered *= std::exp(-age / seconds(long_time));
    r.at = now;
    return r;
}

void demand_tracker::on_decision(const route_name& route, bool admitted,
                                 time_point now)
{
    const auto [it, is_new] = routes_.try_emplace(route);
    if (is_new)
    {
        it->second.since = now;
        it->second.at = now;
    }
    it->second = decayed(it->second, now);
    ++it->second.offered;
    ++it->second.long_offered;
    it->second.admitted += admitted ? 1 : 0;
}

route_demand demand_tracker::demand(const route_name& route,
                                    time_point now) const
{
    const auto it = routes_.find(route);
    if (it == routes_.end())
    {
        return {};
    }
    const auto r = decayed(it->second, now);
    // Both sums start at zero with the route's first job.
    const double age = std::max(0.1, seconds(now - r.since));
    const auto filled = [age](duration time)
    {
        return seconds(time) * (1 - std::exp(-age / seconds(time)));
    };
    return {r.offered, r.admitted, r.long_offered / filled(long_time),
            r.offered / filled(short_time)};
}

} // namespace agatebank
