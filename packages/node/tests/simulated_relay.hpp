#pragma once

#include "simulated_network.hpp"
#include <agatebank/fleet/job_relay.hpp>

#include <functional>

namespace agatebank
{

/// @brief What the relay of an entry asks of the entries.
struct simulated_relay_hooks
{
    std::function<job_relay&(std::size_t entry)> relay;
    std::function<bool()> may_serve;
    std::function<void(uint64_t number, job_submission, job_answer)> serve;
    std::function<void(uint64_t number, const char* why)> abandon;
};

/// @brief Connects the relay of one of two entries to the other's.
inline job_relay_hooks to_relay_hooks(event_queue& events,
                                      simulated_network& network,
                                      std::size_t entry,
                                      simulated_relay_hooks hooks)
{
    const auto send =
        [&network, entry](relay_peer_id p, event_queue::callback receive)
    {
        network.send(static_cast<simulated_link>(p.value()), entry,
                     std::move(receive));
    };
    const auto peer = [relay = hooks.relay, entry]() -> job_relay&
    {
        return relay(1 - entry);
    };
    job_relay_hooks out;
    out.send_job = [send, peer](relay_peer_id p, const relayed_job& m)
    {
        send(p, [peer, p, m] { peer().on_job(p, m); });
    };
    out.send_outcome =
        [send, peer, &events](relay_peer_id p, const relayed_outcome& m)
    {
        send(p,
             [peer, p, m, &events] { peer().on_outcome(p, m, events.now()); });
    };
    out.send_cancel = [send, peer](relay_peer_id p, const relay_cancel& m)
    {
        send(p, [peer, p, m] { peer().on_cancel(p, m); });
    };
    out.may_serve = std::move(hooks.may_serve);
    out.serve = std::move(hooks.serve);
    out.abandon = std::move(hooks.abandon);
    out.log = [](const log_record&) {
    };
    return out;
}

} // namespace agatebank
