#include "event_heap.hpp"

#include <algorithm>
#include <utility>

namespace agatebank::experiment
{

void event_heap::after(duration delay, callback fn)
{
    events_.push_back({now_ + delay, next_sequence_number_++, std::move(fn)});
    std::push_heap(events_.begin(), events_.end(), is_later());
}

void event_heap::run_until(time_point end)
{
    while (!events_.empty() && events_.front().at <= end)
    {
        std::pop_heap(events_.begin(), events_.end(), is_later());
        auto next = std::move(events_.back());
        events_.pop_back();
        now_ = next.at;
        next.fn();
    }
    now_ = end;
}

} // namespace agatebank::experiment
