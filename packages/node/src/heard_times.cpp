#include <agatebank/node/heard_times.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

void heard_times::on_heard(order_source from, time_point sent)
{
    const auto [it, is_new] = entries_.try_emplace(from, entry{sent, sent});
    auto& e = it->second;
    if (sent > e.newest)
    {
        e.previous = std::exchange(e.newest, sent);
    }
}

void heard_times::on_closed(order_source from)
{
    const auto it = entries_.find(from);
    if (it != entries_.end())
    {
        it->second.open = false;
    }
}

void heard_times::on_cancel(order_source from, time_point now)
{
    const auto it = entries_.find(from);
    if (it == entries_.end())
    {
        return;
    }
    const auto left = it->second.previous;
    // An earlier cancellation is settled no later than this one.
    while (!cancellations_.empty() && cancellations_.back().left >= left)
    {
        cancellations_.pop_back();
    }
    cancellations_.push_back({now, left});
}

std::optional<time_point> heard_times::newest(order_source from) const
{
    const auto it = entries_.find(from);
    return it != entries_.end() && it->second.open
               ? std::optional(it->second.newest)
               : std::nullopt;
}

std::optional<time_point> heard_times::oldest(const run_scheduler& runs)
{
    auto out = runs.oldest_stop();
    const auto consider = [&out](time_point t)
    {
        out = std::min(t, out.value_or(t));
    };
    while (!cancellations_.empty() &&
           (!out || cancellations_.front().at < *out))
    {
        cancellations_.pop_front();
    }
    for (const auto& it : cancellations_)
    {
        consider(it.left);
    }
    if (runs.has_unknown_runs())
    {
        consider(time_point());
    }
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        const bool has_orders = runs.has_orders(it->first);
        if (has_orders)
        {
            consider(it->second.newest);
        }
        it = has_orders || it->second.open ? std::next(it) : entries_.erase(it);
    }
    return out;
}

} // namespace agatebank
