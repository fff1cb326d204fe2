#include <agatebank/loop/timer_queue.hpp>

#include <utility>

namespace agatebank
{

timer_queue::timer_queue(event_loop& loop) : loop_(loop) {}

timer_id timer_queue::schedule(duration delay, callback fn)
{
    const timer_id id(++last_id_);
    const auto at = schedule_.emplace(loop_.now() + delay, id);
    timers_.emplace(id, timer{at, std::move(fn)});
    arm_source();
    return id;
}

void timer_queue::cancel(timer_id id)
{
    const auto it = timers_.find(id);
    if (it == timers_.end())
    {
        return;
    }
    schedule_.erase(it->second.at);
    timers_.erase(it);
}

std::size_t timer_queue::size() const noexcept
{
    return timers_.size();
}

void timer_queue::arm_source()
{
    if (schedule_.empty() || schedule_.begin()->first >= armed_expiry_)
    {
        return;
    }
    armed_expiry_ = schedule_.begin()->first;
    watch_ = loop_.after(armed_expiry_ - loop_.now(), [this] { run_due(); });
}

void timer_queue::run_due()
{
    armed_expiry_ = time_point::max();
    const auto now = loop_.now();
    while (!schedule_.empty() && schedule_.begin()->first <= now)
    {
        const auto it = timers_.find(schedule_.begin()->second);
        const auto fn = std::move(it->second.fn);
        schedule_.erase(schedule_.begin());
        timers_.erase(it);
        fn();
    }
    arm_source();
}

} // namespace agatebank
