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

backlog_bucket work_backlog::bucket_of(bool delayable, time_point latest_start,
                                       duration wait)
{
    const auto us = static_cast<uint64_t>(std::max<int64_t>(1, wait.count()));
    const auto width =
        static_cast<int64_t>(std::bit_ceil(us / buckets_per_wait + 1));
    const auto at = latest_start.time_since_epoch().count();
    const auto rounded = (at - (at % width + width) % width);
    return {delayable, time_point(duration(rounded))};
}

void work_backlog::add(const backlog_bucket& bucket, work amount)
{
    buckets_[bucket] += amount;
    total_ += amount;
}

void work_backlog::remove(const backlog_bucket& bucket, work amount)
{
    const auto it = buckets_.find(bucket);
    if (it == buckets_.end())
    {
        return;
    }
    total_ -= std::min(amount, it->second);
    it->second -= std::min(amount, it->second);
    if (it->second == work::zero())
    {
        buckets_.erase(it);
    }
}

work work_backlog::ahead_of(const backlog_bucket& bucket) const
{
    work sum{};
    for (auto it = buckets_.begin();
         it != buckets_.end() && it->first <= bucket; ++it)
    {
        sum += it->second;
    }
    return sum;
}

duration work_backlog::slack(work in_flight, double speed, time_point now) const
{
    auto min_slack = duration::max();
    work sum = in_flight;
    for (const auto& [at, amount] : buckets_)
    {
        sum += amount;
        min_slack =
            std::min(min_slack, at.latest_start - now - time_for(sum, speed));
    }
    return min_slack;
}

bool work_backlog::fits(const backlog_bucket& bucket, work extra,
                        work in_flight, double speed, time_point now) const
{
    work sum = in_flight + extra;
    for (const auto& [at, amount] : buckets_)
    {
        sum += amount;
        if (bucket <= at && now + time_for(sum, speed) > at.latest_start)
        {
            return false;
        }
    }
    return true;
}

} // namespace agatebank
