#include <agatebank/fleet/entry_load_exchange.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr duration send_period = 200ms;
/// A smaller change does not alter a choice between entries.
constexpr int sent_change_permille = 50;
/// The same for the time per job.
constexpr double sent_job_time_ratio = 1.25;
/// Jobs relayed longer ago are part of the load even if it is unchanged.
constexpr duration unreported_age = 500ms;

bool differs(const entry_load& a, const entry_load& b)
{
    const auto [shorter, longer] = std::minmax(a.job_time_us, b.job_time_us);
    return a.accepts_relays != b.accepts_relays ||
           longer >= sent_job_time_ratio * shorter ||
           std::abs(static_cast<int>(a.utilisation_permille) -
                    static_cast<int>(b.utilisation_permille)) >=
               sent_change_permille;
}

uint32_t to_thousandths(double value)
{
    return static_cast<uint32_t>(std::lround(std::max(0.0, value) * 1000));
}

} // namespace

entry_load_exchange::entry_load_exchange(entry_load_options options,
                                         sender send)
    : options_(std::move(options))
    , send_(std::move(send))
    , own_(options_.processor_share)
{
}

void entry_load_exchange::on_load(relay_peer_id peer, const entry_load& load,
                                  const failure_domain_name& domain,
                                  time_point now)
{
    const auto it = peers_.find(peer);
    if (it == peers_.end())
    {
        return;
    }
    it->second.load = load;
    it->second.same_domain = domain == options_.failure_domain;
    it->second.received = now;
    it->second.unreported_jobs = 0;
    it->second.counted_since = now;
}

void entry_load_exchange::add_peer(relay_peer_id peer)
{
    peers_.try_emplace(peer);
}

void entry_load_exchange::remove_peer(relay_peer_id peer)
{
    peers_.erase(peer);
}

void entry_load_exchange::retire_peer(relay_peer_id peer)
{
    const auto it = peers_.find(peer);
    if (it == peers_.end() || std::exchange(it->second.retired, true))
    {
        return;
    }
    if (options_.sends_load)
    {
        send_(peer, entry_load{});
    }
}

void entry_load_exchange::count_relay(relay_peer_id peer)
{
    const auto it = peers_.find(peer);
    if (it != peers_.end())
    {
        ++it->second.unreported_jobs;
    }
}

void entry_load_exchange::tick(time_point now, const entry_work& work,
                               std::size_t running_jobs, bool can_serve)
{
    own_.add_sample(now, work.processor_time);
    job_time_.add_sample(now, work);
    for (auto& [id, peer] : peers_)
    {
        if (now - peer.counted_since >= unreported_age)
        {
            peer.unreported_jobs = 0;
            peer.counted_since = now;
        }
    }
    if (!options_.sends_load || !own_.utilisation() ||
        now - last_sent_ < send_period)
    {
        return;
    }
    const entry_load load{
        to_thousandths(*own_.utilisation()), to_thousandths(own_.share()),
        static_cast<uint32_t>(running_jobs), can_serve && own_.spare(),
        static_cast<uint32_t>(job_time_.mean().count())};
    for (auto& [id, peer] : peers_)
    {
        if (!peer.retired && (!peer.sent || differs(*peer.sent, load)))
        {
            peer.sent = load;
            last_sent_ = now;
            send_(id, load);
        }
    }
}

const processor_load& entry_load_exchange::own() const noexcept
{
    return own_;
}

const job_processor_time& entry_load_exchange::job_time() const noexcept
{
    return job_time_;
}

std::vector<relay_peer> entry_load_exchange::peers(time_point now) const
{
    std::vector<relay_peer> out;
    for (const auto& [id, peer] : peers_)
    {
        if (!peer.load || peer.retired)
        {
            continue;
        }
        relay_peer p;
        p.id = id;
        p.same_domain = peer.same_domain;
        p.accepts_relays = peer.load->accepts_relays;
        p.utilisation = peer.load->utilisation_permille / 1000.0;
        p.share = peer.load->share_millis / 1000.0;
        p.unreported_jobs = peer.unreported_jobs;
        p.load_age = now - peer.received;
        p.job_time = duration(peer.load->job_time_us);
        out.push_back(p);
    }
    return out;
}

std::size_t entry_load_exchange::accepting_peers() const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [](const auto& it)
                      {
                          const auto& p = it.second;
                          return !p.retired && p.load && p.load->accepts_relays;
                      }));
}

} // namespace agatebank
