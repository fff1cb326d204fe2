#include <agatebank/entry/agent_directory.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

/// Delay that lets one acknowledgement cover several released starts.
constexpr duration acknowledgement_delay = std::chrono::milliseconds(100);

} // namespace

agent_directory::agent_directory(event_loop& loop, timer_queue& timers,
                                 link_hub& hub, event_ring& events,
                                 process_identity self, duration loss_timeout)
    : loop_(loop)
    , timers_(timers)
    , hub_(hub)
    , events_(events)
    , self_(std::move(self))
    , loss_timeout_(loss_timeout)
{
}

void agent_directory::set_handlers(agent_handlers handlers)
{
    handlers_ = std::move(handlers);
}

// links

void agent_directory::on_hello(link_id link, const agent_hello& hello)
{
    const agent_incarnation id(hello.self.incarnation);
    mark_previous_lost(hello);
    auto& agent = agents_[id];
    if (agent.connected())
    {
        const auto old = std::exchange(agent.link, link_id());
        links_.erase(old);
        hub_.close(old);
    }
    timers_.cancel(std::exchange(agent.loss_timer, timer_id()));
    agent.self = hello.self;
    agent.target = hello.target;
    agent.link = link;
    agent.lost = false;
    links_[link] = id;
    record(event_kind::agent_connected, agent);
    hub_.send(link, entry_hello{self_});
    resend_unreported(agent);
    handlers_.on_target_changed(id);
}

// A new incarnation under the same name proves that the previous one has ended.
void agent_directory::mark_previous_lost(const agent_hello& hello)
{
    std::vector<agent_incarnation> replaced;
    for (const auto& [id, agent] : agents_)
    {
        if (!agent.lost && agent.self.name == hello.self.name &&
            id.value() != hello.self.incarnation)
        {
            replaced.push_back(id);
        }
    }
    for (const auto id : replaced)
    {
        mark_lost(id);
    }
}

void agent_directory::on_message(link_id link, const message& m)
{
    auto* agent = find_by_link(link);
    if (agent == nullptr)
    {
        return;
    }
    const agent_incarnation id(agent->self.incarnation);
    if (const auto* reports = std::get_if<start_reports>(&m))
    {
        process_reports(*agent, *reports);
    }
    else if (const auto* grant = std::get_if<slot_grant>(&m))
    {
        apply_grant(*agent, *grant);
    }
    else if (const auto* target = std::get_if<target_report>(&m))
    {
        agent->target = *target;
        handlers_.on_target_changed(id);
    }
    else if (const auto* gathered = std::get_if<gather_reply>(&m))
    {
        handlers_.on_gather_reply(id, *gathered);
    }
    else if (const auto* reply = std::get_if<event_reply>(&m))
    {
        handlers_.on_event_reply(id, *reply);
    }
}

void agent_directory::on_heartbeat(link_id link, const heartbeat& beat)
{
    if (auto* agent = find_by_link(link))
    {
        agent->version = beat.version;
    }
}

bool agent_directory::on_closed(link_id link)
{
    auto* agent = find_by_link(link);
    if (agent == nullptr)
    {
        return false;
    }
    const agent_incarnation id(agent->self.incarnation);
    links_.erase(link);
    agent->link = link_id();
    agent->grant.credits = 0;
    agent->loss_timer =
        timers_.schedule(loss_timeout_, [this, id] { mark_lost(id); });
    handlers_.on_disconnected(id);
    return true;
}

bool agent_directory::is_agent(link_id link) const
{
    return links_.count(link) != 0;
}

// The record stays: if the incarnation reconnects, its sequence must continue,
// as the agent takes a start with a used number for a repetition.
void agent_directory::mark_lost(agent_incarnation id)
{
    auto& agent = agents_[id];
    if (agent.lost)
    {
        return;
    }
    agent.lost = true;
    if (agent.connected())
    {
        const auto link = std::exchange(agent.link, link_id());
        links_.erase(link);
        hub_.close(link);
    }
    timers_.cancel(std::exchange(agent.loss_timer, timer_id()));
    agent.outbox.clear();
    agent.starts.clear();
    record(event_kind::agent_lost, agent);
    handlers_.on_lost(id);
}

agent_directory::agent_state* agent_directory::find_by_link(link_id link)
{
    const auto it = links_.find(link);
    return it == links_.end() ? nullptr : &agents_[it->second];
}

// starts

start_ref agent_directory::start(const assignment& a, start_order order)
{
    auto& agent = agents_[a.agent];
    order.sequence = start_sequence(++agent.last_sequence);
    order.agent = a.agent;
    order.deadline_us = agent_deadline_us(agent, a.deadline);
    record(event_kind::start_sent, agent, &order);
    const start_ref ref{a.agent, order.sequence};
    agent.starts[order.sequence] = {a.task, order};
    if (agent.connected())
    {
        if (agent.outbox.empty())
        {
            agents_with_outbox_.push_back(a.agent);
        }
        agent.outbox.push_back(std::move(order));
    }
    return ref;
}

void agent_directory::flush()
{
    for (const auto id : std::exchange(agents_with_outbox_, {}))
    {
        auto& agent = agents_[id];
        auto orders = std::exchange(agent.outbox, {});
        if (!orders.empty() && agent.connected())
        {
            hub_.send(agent.link, start_orders{std::move(orders)});
        }
    }
}

void agent_directory::cancel(const std::vector<start_ref>& starts)
{
    std::map<agent_incarnation, cancel_starts> batches;
    for (const auto& it : starts)
    {
        batches[it.agent].sequences.push_back(it.sequence);
    }
    for (const auto& [agent, batch] : batches)
    {
        send(agent, batch);
    }
}

void agent_directory::release(const start_ref& start)
{
    const auto it = agents_.find(start.agent);
    if (it == agents_.end())
    {
        return;
    }
    auto& agent = it->second;
    const auto retained = agent.starts.find(start.sequence);
    if (retained == agent.starts.end())
    {
        return;
    }
    if (!retained->second.reported)
    {
        retained->second.released = true;
        return;
    }
    agent.starts.erase(retained);
    schedule_acknowledgement(agent);
}

void agent_directory::resend_unreported(agent_state& agent)
{
    agent.outbox.clear();
    start_orders again;
    for (const auto& [sequence, retained] : agent.starts)
    {
        if (!retained.reported)
        {
            again.orders.push_back(retained.order);
            record(event_kind::start_sent_again, agent, &retained.order);
        }
    }
    if (!again.orders.empty())
    {
        hub_.send(agent.link, again);
    }
}

void agent_directory::process_reports(agent_state& agent,
                                      const start_reports& m)
{
    const agent_incarnation id(agent.self.incarnation);
    for (const auto& report : m.reports)
    {
        // Another incarnation answered, so the report does not tell whether
        // the intended one has run the task.
        if (report.error == static_cast<int>(errc::start_wrong_incarnation))
        {
            continue;
        }
        const auto it = agent.starts.find(report.sequence);
        if (it == agent.starts.end() || it->second.reported)
        {
            schedule_acknowledgement(agent);
            continue;
        }
        it->second.reported = true;
        it->second.order.payload.clear();
        it->second.order.payload.shrink_to_fit();
        record(event_kind::report_received, agent, &it->second.order);
        const auto task = it->second.task;
        if (it->second.released)
        {
            agent.starts.erase(it);
            schedule_acknowledgement(agent);
        }
        handlers_.on_report(id, task, report);
    }
}

void agent_directory::apply_grant(agent_state& agent, const slot_grant& grant)
{
    if (grant.version < agent.grant.version)
    {
        return;
    }
    agent.grant = grant;
    handlers_.on_grant(agent_incarnation(agent.self.incarnation),
                       grant.credits);
}

void agent_directory::schedule_acknowledgement(agent_state& agent)
{
    if (agent.acknowledgement_pending)
    {
        return;
    }
    agent.acknowledgement_pending = true;
    const agent_incarnation id(agent.self.incarnation);
    timers_.schedule(acknowledgement_delay, [this, id] { acknowledge(id); });
}

void agent_directory::acknowledge(agent_incarnation id)
{
    auto& agent = agents_[id];
    agent.acknowledgement_pending = false;
    const start_sequence floor = agent.starts.empty()
                                     ? start_sequence(agent.last_sequence + 1)
                                     : agent.starts.begin()->first;
    if (agent.connected() && floor > agent.acknowledged)
    {
        agent.acknowledged = floor;
        hub_.send(agent.link, acknowledgement{floor});
    }
}

// Converts a deadline to the agent's clock. The clock is estimated from the
// agent's heartbeats and is early by at most a one-way delay, so that the
// converted deadline is never too late. Returns 0 while no estimate exists:
// then only this entry enforces the deadline.
int64_t agent_directory::agent_deadline_us(const agent_state& agent,
                                           time_point deadline) const
{
    const auto* link = hub_.find(agent.link);
    const auto now = loop_.now();
    const auto clock =
        link == nullptr ? std::nullopt : link->peer_clock_us(now);
    return clock ? *clock + (deadline - now).count() : 0;
}

// modifiers and lookup

void agent_directory::send(agent_incarnation id, const message& m)
{
    const auto it = agents_.find(id);
    if (it != agents_.end() && it->second.connected())
    {
        hub_.send(it->second.link, m);
    }
}

void agent_directory::send_all(const message& m)
{
    for (const auto& it : links_)
    {
        hub_.send(it.first, m);
    }
}

const agent_record* agent_directory::find(agent_incarnation id) const
{
    const auto it = agents_.find(id);
    return it == agents_.end() ? nullptr : &it->second;
}

std::vector<agent_incarnation> agent_directory::connected() const
{
    std::vector<agent_incarnation> out;
    for (const auto& [id, agent] : agents_)
    {
        if (agent.connected())
        {
            out.push_back(id);
        }
    }
    return out;
}

std::vector<agent_incarnation> agent_directory::agents_not_lost() const
{
    std::vector<agent_incarnation> out;
    for (const auto& [id, agent] : agents_)
    {
        if (!agent.lost)
        {
            out.push_back(id);
        }
    }
    return out;
}

duration agent_directory::one_way_delay(agent_incarnation id) const
{
    const auto* agent = find(id);
    const auto* link = agent == nullptr ? nullptr : hub_.find(agent->link);
    return link == nullptr ? duration::zero() : link->round_trip() / 2;
}

std::size_t agent_directory::retained_starts() const
{
    std::size_t n = 0;
    for (const auto& it : agents_)
    {
        n += it.second.starts.size();
    }
    return n;
}

std::size_t agent_directory::unreported_starts(agent_incarnation id) const
{
    const auto it = agents_.find(id);
    if (it == agents_.end())
    {
        return 0;
    }
    const auto& starts = it->second.starts;
    return static_cast<std::size_t>(
        std::count_if(starts.begin(), starts.end(),
                      [](const auto& s) { return !s.second.reported; }));
}

void agent_directory::record(event_kind kind, const agent_state& agent,
                             const start_order* order,
                             const std::string& detail)
{
    event e;
    e.kind = kind;
    e.target = agent.target.target.value();
    e.peer = agent.self.name;
    e.detail = detail;
    if (order != nullptr)
    {
        e.submission = to_name(order->submission);
        e.task = static_cast<int32_t>(order->task.value());
    }
    events_.record(std::move(e));
}

} // namespace agatebank
