#include <agatebank/core/target_table.hpp>

#include <algorithm>
#include <cmath>

namespace agatebank
{

namespace
{

constexpr double speed_steps = 8; // per factor of e
constexpr duration refresh_period = std::chrono::milliseconds(20);

} // namespace

bool target_record::serves(const service_name& service) const
{
    return offer.accepts_work &&
           std::find(offer.services.begin(), offer.services.end(), service) !=
               offer.services.end();
}

// Credits of this entry reserved for a service: its share of the reserved
// slots, rounded up.
unsigned target_record::reserved_credits(const slot_reservation& r) const
{
    const auto slots = std::max(offer.slots, 1U);
    return std::min(grant, (grant * r.slots + slots - 1) / slots);
}

unsigned target_record::running(const service_name& service) const
{
    const auto it = in_flight_by_service.find(service);
    return it == in_flight_by_service.end() ? 0 : it->second;
}

bool target_record::has_free_credit(const service_name& service) const
{
    auto used = static_cast<unsigned>(in_flight.size());
    for (const auto& r : offer.reserved)
    {
        const auto kept = reserved_credits(r);
        const auto busy = running(r.service);
        used += r.service != service && kept > busy ? kept - busy : 0;
    }
    return used < grant;
}

target_table::target_table(const run_time_estimator& times,
                           const health_monitor& health, bool ejection)
    : times_(times), health_(health), ejection_(ejection)
{
}

void target_table::put(const target_offer& offer)
{
    auto& t = targets_[offer.agent];
    t.offer = offer;
    update(t);
    rebuild_sharing();
    is_stale_ = true;
}

void target_table::set_grant(agent_incarnation agent, unsigned grant)
{
    auto* t = find(agent);
    if (t != nullptr && t->grant != grant)
    {
        t->grant = grant;
        update(*t);
        is_stale_ = true;
    }
}

void target_table::remove(agent_incarnation agent)
{
    const auto* t = find(agent);
    if (t == nullptr)
    {
        return;
    }
    in_flight_ -= t->in_flight.size();
    ready_.erase({t->speed_step, agent});
    targets_.erase(agent);
    rebuild_sharing();
    is_stale_ = true;
}

void target_table::add_start(target_record& t, task_ref task,
                             unreported_start start)
{
    ++t.in_flight_by_service[start.service];
    t.in_flight.emplace(task, std::move(start));
    ++in_flight_;
    count(t, 1);
    update(t);
}

std::optional<unreported_start> target_table::end_start(target_record& t,
                                                        task_ref task)
{
    const auto it = t.in_flight.find(task);
    if (it == t.in_flight.end())
    {
        return std::nullopt;
    }
    auto out = std::move(it->second);
    t.in_flight.erase(it);
    --t.in_flight_by_service[out.service];
    --in_flight_;
    count(t, -1);
    update(t);
    return out;
}

void target_table::update(target_record& t)
{
    const auto agent = t.offer.agent;
    ready_.erase({t.speed_step, agent});
    t.speed = times_.speed(agent);
    t.speed_step =
        static_cast<int>(std::lround(std::log(t.speed) * speed_steps));
    if (t.offer.accepts_work && t.in_flight.size() < t.grant)
    {
        ready_.insert({t.speed_step, agent});
    }
}

void target_table::refresh(time_point now)
{
    if (!is_stale_ && now - refreshed_at_ < refresh_period)
    {
        return;
    }
    is_stale_ = false;
    refreshed_at_ = now;
    views_.clear();
    for (auto& [agent, t] : targets_)
    {
        add_to_views(t, now);
    }
    for (const auto& [service, others] : sharing_)
    {
        views_[service].sharing = others;
    }
}

target_record* target_table::find(agent_incarnation agent)
{
    const auto it = targets_.find(agent);
    return it == targets_.end() ? nullptr : &it->second;
}

const target_record* target_table::find(agent_incarnation agent) const
{
    const auto it = targets_.find(agent);
    return it == targets_.end() ? nullptr : &it->second;
}

std::vector<agent_incarnation>
target_table::agents_of(const service_name& service) const
{
    std::vector<agent_incarnation> out;
    for (const auto& [agent, t] : targets_)
    {
        const auto& services = t.offer.services;
        if (std::find(services.begin(), services.end(), service) !=
            services.end())
        {
            out.push_back(agent);
        }
    }
    return out;
}

const service_view& target_table::view(const service_name& service) const
{
    static const service_view none;
    const auto it = views_.find(service);
    return it == views_.end() ? none : it->second;
}

// Adjusts the number of starts in flight in the speed groups that include a
// target.
void target_table::count(const target_record& t, int by)
{
    if (!t.group_step)
    {
        return;
    }
    for (const auto& service : t.offer.services)
    {
        auto& groups = views_[service].groups;
        const auto it = groups.find(*t.group_step);
        if (it != groups.end())
        {
            it->second.busy += static_cast<unsigned>(by);
        }
    }
}

void target_table::add_to_views(target_record& t, time_point now)
{
    t.group_step.reset();
    const auto health = health_.state(t.offer.agent, now);
    if (!t.offer.accepts_work || (ejection_ && health != health_state::healthy))
    {
        return;
    }
    t.group_step = t.speed_step;
    for (const auto& service : t.offer.services)
    {
        auto& v = views_[service];
        auto& group = v.groups[t.speed_step];
        group.speed = t.speed;
        group.credits += t.grant;
        group.busy += static_cast<unsigned>(t.in_flight.size());
        const double slots = v.slots_speed / v.mean_speed + t.offer.slots;
        v.granted_speed += t.grant * t.speed;
        v.slots_speed += t.offer.slots * t.speed;
        v.mean_speed = slots > 0 ? v.slots_speed / slots : 1;
        v.longest_delay = std::max(v.longest_delay, t.offer.one_way_delay);
    }
}

void target_table::rebuild_sharing()
{
    sharing_.clear();
    for (const auto& [agent, t] : targets_)
    {
        for (const auto& service : t.offer.services)
        {
            sharing_[service].insert(t.offer.services.begin(),
                                     t.offer.services.end());
        }
    }
}

} // namespace agatebank
