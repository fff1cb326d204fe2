#include <agatebank/core/offered_load.hpp>

#include <algorithm>
#include <cmath>

namespace agatebank
{

namespace
{

constexpr double window_s = 5;
constexpr double negligible_rate = 0.001;
constexpr std::size_t max_waits = 64;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

double offered_load::average::at(time_point now) const
{
    return rate * std::exp(-seconds(now - updated) / window_s);
}

void offered_load::add(duration wait, work amount, time_point now)
{
    if (by_wait_.size() >= max_waits && by_wait_.count(wait) == 0)
    {
        std::erase_if(by_wait_, [&](const auto& it)
                      { return it.second.at(now) < negligible_rate; });
    }
    auto& it = by_wait_[wait];
    it.rate = it.at(now) + seconds(amount) / window_s;
    it.updated = now;
}

double offered_load::rate_below(duration wait, time_point now) const
{
    double sum = 0;
    for (auto it = by_wait_.begin(); it != by_wait_.end() && it->first < wait;
         ++it)
    {
        sum += it->second.at(now);
    }
    return sum;
}

bool offered_load::has_longer(duration wait, time_point now) const
{
    return std::any_of(by_wait_.upper_bound(wait), by_wait_.end(),
                       [&](const auto& it)
                       { return it.second.at(now) >= negligible_rate; });
}

bool offered_load::is_shortest(duration wait, time_point now) const
{
    return rate_below(wait, now) < negligible_rate;
}

} // namespace agatebank
