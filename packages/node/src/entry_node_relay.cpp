#include <agatebank/core/duration_math.hpp>
#include <agatebank/node/entry_node.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

/// @file
/// The parts of entry_node that relay jobs to other entries.

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// A peer learns within this time that a link takes no more relayed jobs.
constexpr duration retired_link_age = 500ms;

std::string to_percent_text(double share)
{
    return std::to_string(std::lround(share * 100)) + " %";
}

std::string to_cores_text(double cores)
{
    return std::to_string(std::lround(cores * 1000)) + " thousandths of a core";
}

relay_peer_id to_peer(link_id link)
{
    return relay_peer_id(link.value());
}

link_id to_link(relay_peer_id peer)
{
    return link_id(peer.value());
}

} // namespace

// jobs

bool entry_node::try_relay(job_caller& caller, job_submission& arrival)
{
    if (!settings_.relay || !loads_.own().over() || scheduler_.find(arrival.id))
    {
        return false;
    }
    const auto now = context_.loop.now();
    const auto peers = loads_.peers(now);
    const auto& job_time = loads_.job_time();
    const auto chosen = relay_decision_.choose(
        {true, false, job_time.serving(), job_time.relaying()}, peers);
    if (!chosen)
    {
        return false;
    }
    const auto peer =
        std::find_if(peers.begin(), peers.end(),
                     [&chosen](const auto& p) { return p.id == *chosen; });
    const auto* link = hub_.find(to_link(*chosen));
    if (link == nullptr)
    {
        return false;
    }
    auto record = to_line(
        log_level::info,
        "job relayed: own utilisation " +
            to_percent_text(loads_.own().utilisation().value_or(0)) + " of " +
            to_cores_text(loads_.own().share()) + ", entry " +
            (peer->same_domain ? "in the same failure domain"
                               : "in another failure domain") +
            " at " + to_percent_text(peer->utilisation) + " of " +
            to_cores_text(peer->share) + " " + to_ms_text(peer->load_age) +
            " ago, since then sent " + std::to_string(peer->unreported_jobs) +
            " jobs, processor time here " +
            std::to_string(job_time.relaying().count()) + " us, " +
            std::to_string(job_time.serving().count()) +
            " us if served, time to deadline " + to_ms_text(arrival.deadline),
        "relay", link->peer());
    record.submission = arrival.id;
    context_.log(record);
    loads_.count_relay(*chosen);
    relay_.relay(*chosen, caller.request, std::move(arrival),
                 std::move(caller.done), now);
    return true;
}

job_relay_hooks entry_node::relay_hooks()
{
    job_relay_hooks out;
    out.send_job = [this](relay_peer_id p, const relayed_job& m)
    {
        hub_.send(to_link(p), m);
    };
    out.send_outcome = [this](relay_peer_id p, const relayed_outcome& m)
    {
        hub_.send(to_link(p), m);
    };
    out.send_cancel = [this](relay_peer_id p, const relay_cancel& m)
    {
        hub_.send(to_link(p), m);
    };
    out.may_serve = [this]
    {
        return settings_.relay && ready() && !loads_.own().over();
    };
    out.serve = [this](uint64_t number, job_submission s, job_answer done)
    {
        serve({number, std::nullopt, std::move(done)}, std::move(s));
    };
    out.abandon = [this](uint64_t number, const char* why)
    {
        cancel_request(number, why);
    };
    out.log = context_.log;
    return out;
}

// links

void entry_node::on_load(link_id link, const entry_load& load)
{
    if (peers_.count(link) == 0)
    {
        return;
    }
    const auto dialed = entry_links_.failure_domain(link);
    loads_.on_load(to_peer(link), load, dialed ? *dialed : peer_domains_[link],
                   context_.loop.now());
}

void entry_node::remove_peer(link_id link)
{
    if (peers_.erase(link) == 0)
    {
        return;
    }
    peer_domains_.erase(link);
    unneeded_peers_.erase(link);
    loads_.remove_peer(to_peer(link));
    relay_.on_peer_lost(to_peer(link));
}

void entry_node::close_unneeded_peers(time_point now)
{
    std::vector<link_id> closing;
    for (const auto& [link, since] : unneeded_peers_)
    {
        if (!settings_.relay ||
            (now - since >= retired_link_age && !relay_.uses(to_peer(link))))
        {
            closing.push_back(link);
        }
    }
    for (const auto link : closing)
    {
        remove_peer(link);
        entry_links_.close(link);
    }
}

} // namespace agatebank
