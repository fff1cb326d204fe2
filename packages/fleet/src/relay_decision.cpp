#include <agatebank/fleet/relay_decision.hpp>

#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// Utilisation up to which relayed jobs may fill an entry. It is above the
/// utilisation at which an entry stops to accept relays (0.6), and below that
/// at which it relays itself (0.8).
constexpr double fill_utilisation = 0.7;
/// Time that relayed jobs may use the spare processor time of an entry before
/// it reports its load again.
constexpr duration report_period = 250ms;

// Returns the spare cores of an entry, less what the jobs need that its report
// does not include.
double spare_cores(const relay_peer& p)
{
    return p.share * (fill_utilisation - p.utilisation) -
           p.unreported_jobs * (static_cast<double>(p.job_time.count()) /
                                static_cast<double>(report_period.count()));
}

} // namespace

relay_decision::relay_decision(std::function<uint64_t()> random)
    : random_(std::move(random))
{
}

std::optional<relay_peer_id>
relay_decision::choose(const relay_input& input,
                       const std::vector<relay_peer>& peers) const
{
    if (!input.over || input.relayed ||
        input.relaying_time >= input.serving_time)
    {
        return std::nullopt;
    }
    std::vector<const relay_peer*> near;
    std::vector<const relay_peer*> far;
    for (const auto& it : peers)
    {
        if (it.accepts_relays && spare_cores(it) > 0)
        {
            (it.same_domain ? near : far).push_back(&it);
        }
    }
    const auto& candidates = near.empty() ? far : near;
    if (candidates.empty())
    {
        return std::nullopt;
    }
    const auto n = candidates.size();
    const auto i = random_() % n;
    if (n == 1)
    {
        return candidates[0]->id;
    }
    const auto k = (i + 1 + random_() % (n - 1)) % n;
    return (spare_cores(*candidates[i]) >= spare_cores(*candidates[k])
                ? candidates[i]
                : candidates[k])
        ->id;
}

} // namespace agatebank
