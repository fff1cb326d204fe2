#include <agatebank/core/credit_allocator.hpp>

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace agatebank
{

namespace
{

// Time for which an entry keeps the credits of its largest need before they
// are evened out.
constexpr duration peak_hold = std::chrono::milliseconds(2000);

} // namespace

uint32_t credit_allocator::share::credits() const
{
    return grants.empty() ? 0 : grants.back().credits;
}

uint32_t credit_allocator::share::max_unanswered() const
{
    uint32_t max_count = running;
    for (const auto& it : grants)
    {
        max_count = std::max(max_count, it.credits);
    }
    return max_count;
}

uint32_t credit_allocator::share::need() const
{
    return running + demand.queued;
}

credit_allocator::credit_allocator(uint32_t slots, uint32_t queue_allowance,
                                   uint64_t salt)
    : slots_(slots), queue_allowance_(queue_allowance), salt_(salt)
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

void credit_allocator::set_orphaned_tasks(uint32_t running)
{
    orphaned_tasks_ = running;
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
    auto& grants = it->second.grants;
    const auto confirmed =
        std::find_if(grants.begin(), grants.end(),
                     [&](const auto& g) { return g.version == version; });
    if (confirmed == grants.end())
    {
        return;
    }
    grants.erase(grants.begin(), confirmed);
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

std::vector<slot_grant> credit_allocator::rebalance(time_point now)
{
    std::vector<slot_grant> out;
    for (auto& [entry, s] : shares_)
    {
        s.update_peak(now);
    }
    const auto desired_credits = desired();
    for (auto& [entry, s] : shares_)
    {
        if (s.grants.empty() || desired_credits.at(entry) < s.credits())
        {
            grant(entry, s, std::min(desired_credits.at(entry), s.credits()));
            out.push_back(s.grants.back());
        }
    }
    for (auto& [entry, s] : shares_)
    {
        const auto used = committed();
        const auto spare = used < capacity() ? capacity() - used : 0;
        const auto limit = s.max_unanswered() + spare;
        const auto credits = std::min(desired_credits.at(entry), limit);
        if (credits > s.credits())
        {
            grant(entry, s, credits);
            out.push_back(s.grants.back());
        }
    }
    return out;
}

void credit_allocator::share::update_peak(time_point now)
{
    if (need() >= peak_need || now - peak_at > peak_hold)
    {
        peak_need = need();
        peak_at = now;
    }
}

uint32_t credit_allocator::capacity() const
{
    const auto all = slots_ == 0 ? 0 : slots_ + queue_allowance_;
    return all > orphaned_tasks_ ? all - orphaned_tasks_ : 0;
}

// Starts from the present credits and moves them one at a time, first to
// entries that need more, then to entries below an even share. Credits that no
// entry needs are not moved, so that a small change of demand sends no message.
credit_allocator::plan credit_allocator::desired() const
{
    plan out;
    uint32_t sum = 0;
    for (const auto& [entry, s] : shares_)
    {
        out[entry] = s.credits();
        sum += s.credits();
    }
    for (; sum > capacity(); --sum)
    {
        --largest_surplus(out, false)->second;
    }
    auto spare = out.empty() ? 0 : capacity() - sum;
    while (move_credit(out, spare, false))
    {
    }
    while (move_credit(out, spare, true))
    {
    }
    for (; spare > 0; --spare)
    {
        ++fewest(out, false, UINT32_MAX)->second;
    }
    return out;
}

// Moves one credit to the entry with the fewest credits among those that lack
// one. The credit comes from the spare ones, from an entry with more than it
// needs, or from an entry in need with at least two more credits.
// With to_even_share, the receiver is below its even share, and the giver keeps
// its peak need and its even share.
// @return whether a credit was moved
bool credit_allocator::move_credit(plan& out, uint32_t& spare,
                                   bool to_even_share) const
{
    const auto even = capacity() / static_cast<uint32_t>(
                                       std::max<std::size_t>(out.size(), 1));
    const auto to = to_even_share ? fewest(out, false, even)
                                  : fewest(out, true, UINT32_MAX);
    if (to == out.end())
    {
        return false;
    }
    if (spare > 0)
    {
        --spare;
        ++to->second;
        return true;
    }
    const auto from = largest_surplus(out, to_even_share);
    const auto& donor = shares_.at(from->first);
    const auto kept = to_even_share ? std::max(donor.peak_need, even)
                                    : std::min(donor.need(), to->second + 1);
    if (from == to || from->second <= kept)
    {
        return false;
    }
    --from->second;
    ++to->second;
    return true;
}

// Returns the entry with the fewest credits among those that need more or, if
// in_need is not set, those below the limit.
credit_allocator::plan::iterator
credit_allocator::fewest(plan& out, bool in_need, uint32_t limit) const
{
    auto best = out.end();
    for (auto it = out.begin(); it != out.end(); ++it)
    {
        const bool lacks =
            it->second < (in_need ? shares_.at(it->first).need() : limit);
        const auto rank = [&](const auto& p)
        {
            return std::pair(p->second, tie_rank(p->first));
        };
        if (lacks && (best == out.end() || rank(it) < rank(best)))
        {
            best = it;
        }
    }
    return best;
}

// Order of entries with equal claims. It differs between agents, so that no
// entry is last at every agent.
uint64_t credit_allocator::tie_rank(entry_incarnation entry) const
{
    // 2^64 over the golden ratio, odd
    constexpr uint64_t multiplier = 0x9e3779b97f4a7c15;
    const auto x = (entry.value() ^ (salt_ * multiplier)) * multiplier;
    return (x ^ (x >> 32U)) * multiplier;
}

// Returns the entry with the most credits beyond its need or, if there is no
// such entry, the one with the most credits.
credit_allocator::plan::iterator
credit_allocator::largest_surplus(plan& out, bool of_peak) const
{
    const auto rank = [&](const auto& it)
    {
        const auto& s = shares_.at(it.first);
        const auto need = of_peak ? s.peak_need : s.need();
        return std::tuple(it.second > need ? it.second - need : 0, it.second,
                          ~tie_rank(it.first));
    };
    return std::max_element(out.begin(), out.end(),
                            [&](const auto& a, const auto& b)
                            { return rank(a) < rank(b); });
}

void credit_allocator::grant(entry_incarnation entry, share& s,
                             uint32_t credits)
{
    s.grants.push_back({entry, ++last_version_, credits});
}

slot_grant credit_allocator::current(entry_incarnation entry) const
{
    const auto it = shares_.find(entry);
    return it == shares_.end() || it->second.grants.empty()
               ? slot_grant{}
               : it->second.grants.back();
}

uint32_t credit_allocator::committed() const
{
    uint32_t sum = 0;
    for (const auto& [entry, s] : shares_)
    {
        sum += s.max_unanswered();
    }
    return sum;
}

} // namespace agatebank
