#include <agatebank/entry/event_collector.hpp>

#include <utility>

namespace agatebank
{

namespace
{

/// Time after which a collection ends without the missing replies.
constexpr duration collect_timeout = std::chrono::seconds(2);

} // namespace

event_collector::event_collector(timer_queue& timers, event_ring& local_events,
                                 agent_directory& agents,
                                 entry_directory& entries, peer_links& links)
    : timers_(timers)
    , local_events_(local_events)
    , agents_(agents)
    , entries_(entries)
    , links_(links)
{
}

void event_collector::collect(const event_filter& filter, completion done)
{
    const auto number = ++last_number_;
    auto& q = queries_[number];
    q.filter = filter;
    q.done = std::move(done);
    q.events = local_events_.select(filter);
    q.timeout =
        timers_.schedule(collect_timeout, [this, number] { finish(number); });
    const auto agents = agents_.connected();
    const auto peers = entries_.live();
    q.outstanding = agents.size() + peers.size();
    const event_query request{number, filter};
    for (const auto it : agents)
    {
        agents_.send(it, request);
    }
    for (const auto& it : peers)
    {
        links_.send(entry_incarnation(it.announcement.self.incarnation),
                    request);
    }
    if (q.outstanding == 0)
    {
        timers_.cancel(q.timeout);
        finish(number);
    }
}

void event_collector::on_reply(const event_reply& reply)
{
    const auto it = queries_.find(reply.request_id);
    if (it == queries_.end())
    {
        return;
    }
    auto& q = it->second;
    q.events.insert(q.events.end(), reply.events.begin(), reply.events.end());
    --q.outstanding;
    if (q.outstanding == 0)
    {
        timers_.cancel(q.timeout);
        finish(reply.request_id);
    }
}

void event_collector::on_link_up(entry_incarnation peer)
{
    for (const auto& [number, q] : queries_)
    {
        links_.send(peer, event_query{number, q.filter});
    }
}

void event_collector::finish(uint64_t number)
{
    auto node = queries_.extract(number);
    node.mapped().done(std::move(node.mapped().events));
}

} // namespace agatebank
