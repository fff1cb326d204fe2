#include <agatebank/fleet/start_estimator.hpp>

#include <algorithm>

namespace agatebank
{

start_estimator::start_estimator(const resources& capacity)
    : capacity_(capacity)
{
}

resources start_estimator::reserved_by(const queued_work& work) const
{
    return work.isolated ? capacity_ : work.needed;
}

void start_estimator::add_started(const queued_work& run)
{
    const auto reserved = reserved_by(run);
    used_ += reserved;
    ends_.emplace(run.run, reserved);
}

duration start_estimator::start_of(const queued_work& order) const
{
    const auto reserved = reserved_by(order);
    auto used = used_;
    auto start = clock_;
    for (auto it = ends_.begin();
         it != ends_.end() && !capacity_.can_fit(used + reserved); ++it)
    {
        used -= it->second;
        start = std::max(start, it->first);
    }
    return start;
}

void start_estimator::add(const queued_work& order)
{
    clock_ = start_of(order);
    while (!ends_.empty() && ends_.begin()->first <= clock_)
    {
        used_ -= ends_.begin()->second;
        ends_.erase(ends_.begin());
    }
    const auto reserved = reserved_by(order);
    used_ += reserved;
    ends_.emplace(clock_ + order.run, reserved);
}

} // namespace agatebank
