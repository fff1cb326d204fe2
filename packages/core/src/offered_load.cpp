#include <agatebank/core/offered_load.hpp>

#include <algorithm>
#include <cmath>

namespace agatebank
{

namespace
{

constexpr double recent_window_s = 5;
constexpr double long_term_window_s = 60;
constexpr double negligible_rate = 0.001; // seconds of work per second
constexpr std::size_t max_waits = 64;     // before old ones are discarded

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

void offered_load::average::add(double amount_s, time_point now)
{
    const double passed = seconds(now - updated);
    recent = recent * std::exp(-passed / recent_window_s) +
             amount_s / recent_window_s;
    long_term = long_term * std::exp(-passed / long_term_window_s) +
                amount_s / long_term_window_s;
    updated = now;
}

double offered_load::average::recent_at(time_point now) const
{
    return recent * std::exp(-seconds(now - updated) / recent_window_s);
}

// Divided by the weight of the time since the first work; without this, the
// time before it would count as idle.
double offered_load::average::long_term_at(time_point now) const
{
    const double age = std::max(seconds(now - first), recent_window_s);
    const double observed_weight = 1 - std::exp(-age / long_term_window_s);
    return long_term * std::exp(-seconds(now - updated) / long_term_window_s) /
           observed_weight;
}

void offered_load::add(duration wait, work amount, time_point now)
{
    if (by_wait_.size() >= max_waits && by_wait_.count(wait) == 0)
    {
        std::erase_if(by_wait_, [&](const auto& it)
                      { return it.second.recent_at(now) < negligible_rate; });
    }
    const auto [it, is_new] = by_wait_.try_emplace(wait);
    if (is_new)
    {
        it->second.first = now;
        it->second.updated = now;
    }
    it->second.add(seconds(amount), now);
}

double offered_load::rate_below(duration wait, time_point now) const
{
    const double wait_s = seconds(wait);
    const double recent_weight =
        std::min(1.0, recent_window_s / std::max(wait_s, 0.001));
    double sum = 0;
    for (auto it = by_wait_.begin(); it != by_wait_.end() && it->first < wait;
         ++it)
    {
        sum += recent_weight * it->second.recent_at(now) +
               (1 - recent_weight) * it->second.long_term_at(now);
    }
    return sum;
}

bool offered_load::has_longer(duration wait, time_point now) const
{
    return std::any_of(by_wait_.upper_bound(wait), by_wait_.end(),
                       [&](const auto& it)
                       { return it.second.recent_at(now) >= negligible_rate; });
}

bool offered_load::is_shortest(duration wait, time_point now) const
{
    return std::none_of(by_wait_.upper_bound(duration::zero()),
                        by_wait_.lower_bound(wait),
                        [&](const auto& it) {
                            return it.second.recent_at(now) >= negligible_rate;
                        });
}

} // namespace agatebank
