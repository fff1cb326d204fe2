#include <agatebank/entry/peer_links.hpp>

#include <utility>

namespace agatebank
{

peer_links::peer_links(link_hub& hub, tcp_connector& connector,
                       entry_directory& entries, process_identity self)
    : hub_(hub)
    , connector_(connector)
    , entries_(entries)
    , self_(std::move(self))
{
}

void peer_links::on_link_up(std::function<void(entry_incarnation)> handler)
{
    link_up_handler_ = std::move(handler);
}

link_id peer_links::send(entry_incarnation peer, const message& m)
{
    const auto* record = entries_.find(peer);
    if (record == nullptr || record->lost)
    {
        return link_id();
    }
    const auto& connection = connections_[peer];
    if (connection.link == link_id())
    {
        connect(peer, record->wire_endpoint());
        return link_id();
    }
    hub_.send(connection.link, m);
    return connection.link;
}

void peer_links::on_closed(link_id link)
{
    for (auto it = connections_.begin(); it != connections_.end(); ++it)
    {
        if (it->second.link == link)
        {
            connections_.erase(it);
            return;
        }
    }
}

void peer_links::connect(entry_incarnation peer, const endpoint& remote)
{
    auto& connection = connections_[peer];
    if (connection.connecting)
    {
        return;
    }
    connection.connecting =
        connector_.connect(remote,
                           [this, peer](result<object_ptr<GSocketConnection>> c)
                           {
                               auto& opened = connections_[peer];
                               const auto handle =
                                   std::exchange(opened.connecting, nullptr);
                               if (!c)
                               {
                                   return;
                               }
                               opened.link = hub_.add(std::move(*c));
                               hub_.send(opened.link, peer_hello{self_});
                               link_up_handler_(peer);
                           });
}

} // namespace agatebank
