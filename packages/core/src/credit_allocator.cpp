#include <agatebank/core/credit_allocator.hpp>

#include <algorithm>
#include <tuple>

namespace agatebank
{

uint32_t credit_allocator::share::credits() const
{
    return usable.empty() ? 0 : usable.back().credits;
}

uint32_t credit_allocator::share::exposure() const
{
    uint32_t most = running;
    for (const auto& it : usable)
    {
        most = std::max(most, it.credits);
    }
    return most;
}

uint32_t credit_allocator::share::need() const
{
    return running + demand.queued;
}

credit_allocator::credit_allocator(uint32_t slots, uint32_t queue_allowance)
    : slots_(slots), queue_allowance_(queue_allowance)
{
}

void credit_allocator::add_entry(entry_incarnation entry)
{
    shares_.try_emplace(entry);
}

void credit_allocator::remove_entry(entry_incarnation entry)
{
    shares_.erase(entry);
}

void credit_allocator::set_orphans(uint32_t running)
{
    orphans_ = running;
}

void credit_allocator::set_demand(entry_incarnation entry,
                                  const demand_report& demand)
{
    const auto it = shares_.find(entry);
    if (it != shares_.end())
    {
        it->second.demand = demand;
    }
}

void credit_allocator::confirm(entry_incarnation entry, uint64_t version)
{
    const auto it = shares_.find(entry);
    if (it != shares_.end())
    {
        confirm(entry, version, it->second.demand.in_flight);
    }
}

void credit_allocator::confirm(entry_incarnation entry, uint64_t version,
                               uint32_t in_flight)
{
    const auto it = shares_.find(entry);
    if (it == shares_.end())
    {
        return;
    }
    auto& usable = it->second.usable;
    const auto confirmed =
        std::find_if(usable.begin(), usable.end(),
                     [&](const auto& g) { return g.version == version; });
    if (confirmed == usable.end())
    {
        return;
    }
    usable.erase(usable.begin(), confirmed);
    it->second.running = in_flight;
}

void credit_allocator::set_running(entry_incarnation entry, uint32_t running)
{
    const auto it = shares_.find(entry);
    if (it != shares_.end())
    {
        it->second.running = running;
    }
}

void credit_allocator::set_slots(uint32_t slots)
{
    slots_ = slots;
}

void credit_allocator::set_queue_allowance(uint32_t queue_allowance)
{
    queue_allowance_ = queue_allowance;
}

std::vector<slot_grant> credit_allocator::rebalance(time_point)
{
    std::vector<slot_grant> out;
    const auto wanted = desired();
    for (auto& [entry, s] : shares_)
    {
        if (s.usable.empty() || wanted.at(entry) < s.credits())
        {
            grant(entry, s, std::min(wanted.at(entry), s.credits()));
            out.push_back(s.usable.back());
        }
    }
    for (auto& [entry, s] : shares_)
    {
        const auto used = committed();
        const auto spare = used < capacity() ? capacity() - used : 0;
        const auto limit = s.exposure() + spare;
        const auto credits = std::min(wanted.at(entry), limit);
        if (credits > s.credits())
        {
            grant(entry, s, credits);
            out.push_back(s.usable.back());
        }
    }
    return out;
}

uint32_t credit_allocator::capacity() const
{
    const auto all = slots_ == 0 ? 0 : slots_ + queue_allowance_;
    return all > orphans_ ? all - orphans_ : 0;
}

// Hands out one credit after the other: first to entries in need, the one
// with the fewest credits first, then evenly.
credit_allocator::plan credit_allocator::desired() const
{
    plan out;
    for (const auto& [entry, s] : shares_)
    {
        out[entry] = 0;
    }
    for (uint32_t left = shares_.empty() ? 0 : capacity(); left > 0; --left)
    {
        const auto next =
            std::min_element(out.begin(), out.end(),
                             [&](const auto& a, const auto& b)
                             {
                                 const auto rank = [&](const auto& p)
                                 {
                                     const bool met =
                                         p.second >= shares_.at(p.first).need();
                                     return std::tuple(met, p.second, p.first);
                                 };
                                 return rank(a) < rank(b);
                             });
        ++next->second;
    }
    return out;
}

void credit_allocator::grant(entry_incarnation entry, share& s,
                             uint32_t credits)
{
    s.usable.push_back({entry, ++last_version_, credits});
}

slot_grant credit_allocator::current(entry_incarnation entry) const
{
    const auto it = shares_.find(entry);
    return it == shares_.end() || it->second.usable.empty()
               ? slot_grant{}
               : it->second.usable.back();
}

uint32_t credit_allocator::committed() const
{
    uint32_t sum = 0;
    for (const auto& [entry, s] : shares_)
    {
        sum += s.exposure();
    }
    return sum;
}

} // namespace agatebank
