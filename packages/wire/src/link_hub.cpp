#include <agatebank/wire/link_hub.hpp>

#include <utility>
#include <vector>

namespace agatebank
{

namespace
{

void add_traffic(link_traffic& sum, const link_traffic& t)
{
    sum.messages_sent += t.messages_sent;
    sum.messages_received += t.messages_received;
    sum.bytes_sent += t.bytes_sent;
    sum.bytes_received += t.bytes_received;
}

} // namespace

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
    links_.emplace(id,
                   std::make_unique<tcp_link>(context_, std::move(connection),
                                              std::move(handlers)));
    return id;
}

void link_hub::send(link_id id, const message& m)
{
    const auto it = links_.find(id);
    if (it != links_.end())
    {
        it->second->send(m);
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
    return it == links_.end() ? nullptr : it->second.get();
}

std::size_t link_hub::size() const noexcept
{
    return links_.size();
}

link_traffic link_hub::total_traffic() const
{
    auto sum = closed_traffic_;
    for (const auto& it : links_)
    {
        add_traffic(sum, it.second->traffic());
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
            it->second->on_heartbeat_timer();
        }
    }
}

void link_hub::add_closed_traffic(link_id id)
{
    if (const auto* link = find(id))
    {
        add_traffic(closed_traffic_, link->traffic());
    }
}

} // namespace agatebank
