#include <agatebank/daemon/entry_status.hpp>

namespace agatebank
{

namespace
{

process_status describe_self(entry_process& entry)
{
    process_status out;
    out.name = entry.identity().name;
    out.incarnation = entry.identity().incarnation;
    out.failure_domain = entry.identity().failure_domain;
    out.version = entry.configuration().version();
    out.leaving = entry.leaving();
    out.reachable = true;
    return out;
}

process_status describe_peer(const peer_record& peer)
{
    process_status out;
    out.name = peer.announcement.self.name;
    out.incarnation = peer.announcement.self.incarnation;
    out.failure_domain = peer.announcement.self.failure_domain;
    out.address = peer.wire_endpoint().to_string();
    out.version = peer.announcement.version;
    out.leaving = peer.announcement.leaving;
    out.reachable = !peer.lost;
    return out;
}

process_status describe_agent(const entry_process& entry,
                              const agent_record& agent)
{
    const auto* link = entry.links().find(agent.link);
    process_status out;
    out.kind = process_kind::agent;
    out.name = agent.self.name;
    out.incarnation = agent.self.incarnation;
    out.failure_domain = agent.self.failure_domain;
    out.address = link == nullptr ? "" : link->peer();
    out.version = agent.version;
    out.reachable = agent.connected();
    return out;
}

} // namespace

std::vector<target_status> list_targets(entry_process& entry)
{
    const auto& view = entry.configuration().view();
    std::vector<target_status> out;
    for (const auto id : entry.agents().agents_not_lost())
    {
        const auto* agent = entry.agents().find(id);
        const auto* row = view.find_target(agent->target.target);
        target_status status;
        status.target = agent->target.target;
        status.worker = row == nullptr ? worker_name() : row->worker;
        status.failure_domain = agent->self.failure_domain;
        status.agent = agent->self.name;
        status.state = view.state_of(agent->target.target);
        status.services = agent->target.services;
        status.slots = agent->target.slots;
        status.in_flight =
            static_cast<unsigned>(entry.agents().unreported_starts(id));
        status.ejected = entry.job_dispatcher().is_ejected(id, entry.now());
        status.accepts_work = agent->connected() && agent->target.accepts_work;
        status.version = agent->version;
        out.push_back(std::move(status));
    }
    return out;
}

std::vector<process_status> list_processes(entry_process& entry)
{
    std::vector<process_status> out{describe_self(entry)};
    for (const auto& peer : entry.entries().live())
    {
        out.push_back(describe_peer(peer));
    }
    for (const auto id : entry.agents().agents_not_lost())
    {
        out.push_back(describe_agent(entry, *entry.agents().find(id)));
    }
    return out;
}

} // namespace agatebank
