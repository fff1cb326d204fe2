#include <agatebank/core/work_backlog.hpp>

#include <algorithm>
#include <bit>
#include <cstdint>

namespace agatebank
{

namespace
{

constexpr uint64_t buckets_per_wait = 32;

} // namespace

duration time_for(work amount, double speed)
{
    constexpr double max_us = 1e15;
    const double us = static_cast<double>(amount.count()) / speed;
    return duration(static_cast<int64_t>(std::min(us, max_us)));
}

work_place work_backlog::place_of(bool delayable, time_point latest_start,
                                  duration wait)
{
    const auto us = static_cast<uint64_t>(std::max<int64_t>(1, wait.count()));
    const auto width =
        static_cast<int64_t>(std::bit_ceil(us / buckets_per_wait + 1));
    const auto at = latest_start.time_since_epoch().count();
    const auto rounded = (at - (at % width + width) % width);
    return {delayable, time_point(duration(rounded))};
}

void work_backlog::add(const work_place& place, work amount)
{
    places_[place] += amount;
    total_ += amount;
}

void work_backlog::remove(const work_place& place, work amount)
{
    const auto it = places_.find(place);
    if (it == places_.end())
    {
        return;
    }
    total_ -= std::min(amount, it->second);
    it->second -= std::min(amount, it->second);
    if (it->second == work::zero())
    {
        places_.erase(it);
    }
}

work work_backlog::ahead_of(const work_place& place) const
{
    work sum{};
    for (auto it = places_.begin(); it != places_.end() && it->first <= place;
         ++it)
    {
        sum += it->second;
    }
    return sum;
}

duration work_backlog::slack(work in_flight, double speed, time_point now) const
{
    auto min_slack = duration::max();
    work sum = in_flight;
    for (const auto& [at, amount] : places_)
    {
        sum += amount;
        min_slack =
            std::min(min_slack, at.latest_start - now - time_for(sum, speed));
    }
    return min_slack;
}

bool work_backlog::fits(const work_place& place, work extra, work in_flight,
                        double speed, time_point now) const
{
    work sum = in_flight + extra;
    for (const auto& [at, amount] : places_)
    {
        sum += amount;
        if (place <= at && now + time_for(sum, speed) > at.latest_start)
        {
            return false;
        }
    }
    return true;
}

} // namespace agatebank
