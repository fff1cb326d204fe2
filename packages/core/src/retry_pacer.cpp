#include <agatebank/core/retry_pacer.hpp>

#include <algorithm>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr double budget_per_start = 0.1;
constexpr double largest_budget = 20; // refusals
constexpr duration first_pause = 5ms;
constexpr duration longest_pause = 640ms;
constexpr unsigned max_doublings = 7;

} // namespace

retry_pacer::retry_pacer(uint64_t seed) : jitter_(seed), budget_(largest_budget)
{
}

void retry_pacer::on_start()
{
    budget_ = std::min(budget_ + budget_per_start, largest_budget);
}

void retry_pacer::on_refusal(agent_incarnation agent, time_point now)
{
    auto& p = pauses_[agent];
    const bool within_budget = budget_ >= 1;
    budget_ -= within_budget ? 1 : 0;
    const auto doubled =
        first_pause * (1 << std::min(p.refusals, max_doublings));
    const auto length = within_budget
                            ? std::min<duration>(doubled, longest_pause)
                            : longest_pause;
    ++p.refusals;
    p.until = std::max(p.until, now + jitter_.spread(length));
}

void retry_pacer::on_run(agent_incarnation agent)
{
    pauses_.erase(agent);
}

void retry_pacer::remove(agent_incarnation agent)
{
    pauses_.erase(agent);
}

bool retry_pacer::may_start(agent_incarnation agent, time_point now) const
{
    const auto it = pauses_.find(agent);
    return it == pauses_.end() || now >= it->second.until;
}

} // namespace agatebank
