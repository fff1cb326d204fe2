#include <agatebank/wire/link_hub.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace agatebank
{

link_hub::link_hub(link_context context, hub_handlers handlers)
    : context_(std::move(context)), handlers_(std::move(handlers))
{
    context_.options.own_timer = false;
    timer_ = context_.loop.every(context_.options.heartbeat_period / 2,
                                 [this] { on_heartbeat_timer(); });
}

link_id link_hub::add(object_ptr<GSocketConnection> connection)
{
    const link_id id(++last_id_);
    link_handlers handlers;
    handlers.on_message = [this, id](message&& m)
    {
        handlers_.on_message(id, std::move(m));
    };
    handlers.on_heartbeat = [this, id](const heartbeat& beat)
    {
        if (handlers_.on_heartbeat)
        {
            handlers_.on_heartbeat(id, beat);
        }
    };
    handlers.on_closed = [this, id](const failure& why)
    {
        add_closed_traffic(id);
        links_.erase(id);
        handlers_.on_closed(id, why);
    };
    links_[id].link = std::make_unique<tcp_link>(
        context_, std::move(connection), std::move(handlers));
    return id;
}

void link_hub::send(link_id id, const message& m)
{
    const auto it = links_.find(id);
    if (it != links_.end())
    {
        it->second.link->send(m);
    }
}

void link_hub::set_class(link_id id, link_class peer)
{
    const auto it = links_.find(id);
    if (it != links_.end())
    {
        it->second.peer = peer;
    }
}

void link_hub::close(link_id id)
{
    add_closed_traffic(id);
    links_.erase(id);
}

const tcp_link* link_hub::find(link_id id) const
{
    const auto it = links_.find(id);
    return it == links_.end() ? nullptr : it->second.link.get();
}

std::size_t link_hub::size() const noexcept
{
    return links_.size();
}

duration link_hub::longest_delay() const
{
    duration out{};
    for (const auto& [id, it] : links_)
    {
        out = std::max(out, it.link->delay());
    }
    return out;
}

link_traffic link_hub::total_traffic() const
{
    link_traffic sum;
    for (const auto peer :
         {link_class::unidentified, link_class::agent, link_class::entry})
    {
        sum += traffic(peer);
    }
    return sum;
}

link_traffic link_hub::traffic(link_class peer) const
{
    const auto closed = closed_traffic_.find(peer);
    auto sum =
        closed == closed_traffic_.end() ? link_traffic() : closed->second;
    for (const auto& [id, it] : links_)
    {
        if (it.peer == peer)
        {
            sum += it.link->traffic();
        }
    }
    return sum;
}

void link_hub::on_heartbeat_timer()
{
    std::vector<link_id> ids;
    ids.reserve(links_.size());
    for (const auto& it : links_)
    {
        ids.push_back(it.first);
    }
    for (const auto id : ids)
    {
        const auto it = links_.find(id);
        if (it != links_.end())
        {
            it->second.link->on_heartbeat_timer();
        }
    }
}

void link_hub::add_closed_traffic(link_id id)
{
    const auto it = links_.find(id);
    if (it != links_.end())
    {
        closed_traffic_[it->second.peer] += it->second.link->traffic();
    }
}

} // namespace agatebank
