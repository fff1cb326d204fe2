#include <agatebank/loop/timer_schedule.hpp>

#include <algorithm>

namespace agatebank
{

scheduled_id timer_schedule::add(time_point at, duration period, callback fn)
{
    const scheduled_id id(++last_id_);
    timers_.emplace(
        id, timer{at, period, std::make_shared<const callback>(std::move(fn))});
    expiries_.emplace(at, id);
    return id;
}

void timer_schedule::cancel(scheduled_id id)
{
    const auto it = timers_.find(id);
    if (it != timers_.end())
    {
        expiries_.erase({it->second.at, id});
        timers_.erase(it);
    }
}

void timer_schedule::run_due(time_point now)
{
    std::vector<scheduled_id> due;
    for (const auto& [at, id] : expiries_)
    {
        if (at > now)
        {
            break;
        }
        due.push_back(id);
    }
    std::sort(due.begin(), due.end());
    for (const auto id : due)
    {
        // A callback may cancel other timers, or run a nested loop that calls
        // them. The timer is not scheduled during its own callback.
        const auto it = timers_.find(id);
        if (it == timers_.end() || it->second.at > now ||
            expiries_.erase({it->second.at, id}) == 0)
        {
            continue;
        }
        const auto fn = it->second.fn;
        const bool repeats = it->second.period > duration::zero();
        if (!repeats)
        {
            timers_.erase(it);
        }
        (*fn)();
        const auto again = repeats ? timers_.find(id) : timers_.end();
        if (again != timers_.end())
        {
            again->second.at = now + again->second.period;
            expiries_.emplace(again->second.at, id);
        }
    }
}

std::optional<time_point> timer_schedule::next() const
{
    return expiries_.empty() ? std::nullopt
                             : std::optional(expiries_.begin()->first);
}

std::size_t timer_schedule::size() const noexcept
{
    return timers_.size();
}

} // namespace agatebank
