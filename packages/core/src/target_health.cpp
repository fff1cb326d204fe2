#include <agatebank/core/target_health.hpp>

#include <algorithm>

namespace agatebank
{

namespace
{

constexpr double ratio_window = 8;          // starts
constexpr unsigned suspect_failed_jobs = 2; // in a row
constexpr unsigned eject_failed_jobs = 3;   // in a row
constexpr double peer_ratio_factor = 2;
constexpr double peer_ratio_margin = 0.15;
// Ejection periods that a target must have been healthy for before its next
// ejection begins with the first period again.
constexpr int healthy_periods_to_reset = 10;

} // namespace

health_monitor::health_monitor(health_options options)
    : options_(options), jitter_(options.seed)
{
}

void health_monitor::set_first_period(duration period)
{
    options_.first_period = period;
}

void health_monitor::add(agent_incarnation agent)
{
    records_.try_emplace(agent);
}

void health_monitor::remove(agent_incarnation agent)
{
    const auto it = records_.find(agent);
    if (it == records_.end())
    {
        return;
    }
    ratio_sum_ -= it->second.failure_ratio;
    ejected_ -= it->second.ejected ? 1 : 0;
    records_.erase(it);
    while (ejected_ > max_ejected())
    {
        release_one();
    }
}

void health_monitor::on_start(agent_incarnation agent, duration high,
                              time_point now)
{
    const auto it = records_.find(agent);
    if (it == records_.end())
    {
        return;
    }
    auto& r = it->second;
    if (r.in_flight++ == 0)
    {
        r.unanswered_since = now;
        r.high = high;
    }
    r.high = std::max(r.high, high);
}

void health_monitor::on_answer(agent_incarnation agent, time_point now)
{
    const auto it = records_.find(agent);
    if (it == records_.end())
    {
        return;
    }
    auto& r = it->second;
    end_start(r, now);
    ratio_sum_ -= r.failure_ratio / ratio_window;
    r.failure_ratio -= r.failure_ratio / ratio_window;
    r.failed_jobs = 0;
    if (r.ejected && now >= r.ejected_until)
    {
        r.ejected = false;
        r.healthy_since = now;
        --ejected_;
    }
}

void health_monitor::on_failure(agent_incarnation agent, job_key job,
                                time_point now)
{
    const auto it = records_.find(agent);
    if (it == records_.end())
    {
        return;
    }
    auto& r = it->second;
    end_start(r, now);
    const double step = (1 - r.failure_ratio) / ratio_window;
    r.failure_ratio += step;
    ratio_sum_ += step;
    if (r.failed_jobs == 0 || r.last_failed != job)
    {
        ++r.failed_jobs;
    }
    r.last_failed = job;
    const bool probe_failed = r.ejected && now >= r.ejected_until;
    if (probe_failed || (!r.ejected && is_outlier(r)))
    {
        eject(r, now);
    }
}

void health_monitor::on_not_run(agent_incarnation agent)
{
    const auto it = records_.find(agent);
    if (it != records_.end() && it->second.in_flight > 0)
    {
        --it->second.in_flight;
    }
}

health_state health_monitor::state(agent_incarnation agent,
                                   time_point now) const
{
    const auto it = records_.find(agent);
    if (it == records_.end())
    {
        return health_state::healthy;
    }
    const auto& r = it->second;
    if (r.ejected)
    {
        return now < r.ejected_until ? health_state::ejected
                                     : health_state::probing;
    }
    return r.failed_jobs >= suspect_failed_jobs || is_unresponsive(r, now)
               ? health_state::suspect
               : health_state::healthy;
}

bool health_monitor::may_start(agent_incarnation agent, time_point now) const
{
    switch (state(agent, now))
    {
    case health_state::healthy:
        return true;
    case health_state::ejected:
        return false;
    case health_state::suspect:
    case health_state::probing:
        break;
    }
    const auto it = records_.find(agent);
    return it == records_.end() || it->second.in_flight == 0;
}

time_point health_monitor::awaiting_start_since(agent_incarnation agent) const
{
    const auto it = records_.find(agent);
    if (it == records_.end())
    {
        return {};
    }
    const auto& r = it->second;
    return r.ejected ? r.ejected_until : r.unanswered_since;
}

std::size_t health_monitor::max_ejected() const
{
    return static_cast<std::size_t>(static_cast<double>(records_.size()) *
                                    options_.max_ejected_share);
}

double health_monitor::peer_failure_ratio(const record& r) const
{
    const auto peers = static_cast<double>(records_.size()) - 1;
    return peers > 0 ? (ratio_sum_ - r.failure_ratio) / peers : 1;
}

bool health_monitor::is_outlier(const record& r) const
{
    return r.failed_jobs >= eject_failed_jobs &&
           r.failure_ratio >
               peer_ratio_factor * peer_failure_ratio(r) + peer_ratio_margin;
}

void health_monitor::eject(record& r, time_point now)
{
    if (!r.ejected && ejected_ >= max_ejected())
    {
        return;
    }
    const bool long_healthy =
        !r.ejected &&
        now - r.healthy_since > healthy_periods_to_reset * r.period;
    r.period = r.period == duration::zero() || long_healthy
                   ? options_.first_period
                   : std::min(2 * r.period, options_.longest_period);
    r.ejected_until = now + jitter_.spread(r.period);
    ejected_ += r.ejected ? 0 : 1;
    r.ejected = true;
}

// Makes the ejected target whose period ends first a suspect one.
void health_monitor::release_one()
{
    record* first = nullptr;
    for (auto& [agent, r] : records_)
    {
        if (r.ejected &&
            (first == nullptr || r.ejected_until < first->ejected_until))
        {
            first = &r;
        }
    }
    first->ejected = false;
    first->failed_jobs = std::max(first->failed_jobs, suspect_failed_jobs);
    --ejected_;
}

bool health_monitor::is_unresponsive(const record& r, time_point now)
{
    return r.in_flight > 0 && now - r.unanswered_since > r.high;
}

void health_monitor::end_start(record& r, time_point now)
{
    r.unanswered_since = now;
    r.in_flight -= r.in_flight > 0 ? 1 : 0;
}

} // namespace agatebank
