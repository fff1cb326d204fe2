#include <agatebank/entry/entry_directory.hpp>

#include <utility>

namespace agatebank
{

entry_directory::entry_directory(event_loop& loop, hybrid_clock& clock,
                                 const authenticator& auth, event_ring& events,
                                 std::vector<endpoint> peers,
                                 membership_options options)
    : loop_(loop)
    , events_(events)
    , peers_(std::move(peers))
    , options_(options)
    , socket_(clock, auth,
              [this](const entry_announcement& a) { process_announcement(a); })
{
}

void entry_directory::on_announcement(announcement_handler handler)
{
    announcement_handler_ = std::move(handler);
}

result<void> entry_directory::start(const endpoint& local,
                                    const entry_announcement& self)
{
    self_ = self;
    started_ = loop_.now();
    auto bound = socket_.bind(local);
    if (!bound)
    {
        return bound;
    }
    timer_ = loop_.every(options_.announce_period,
                         [this]
                         {
                             mark_silent_lost();
                             send_announcements();
                         });
    send_announcements();
    return {};
}

void entry_directory::announce(config_version version, bool leaving)
{
    self_.version = version;
    self_.leaving = leaving;
    send_announcements();
}

void entry_directory::send_announcements()
{
    for (const auto& it : peers_)
    {
        socket_.send(it, self_);
    }
}

void entry_directory::process_announcement(const entry_announcement& a)
{
    if (a.self.incarnation == self_.self.incarnation ||
        a.self.protocol != protocol_version)
    {
        return;
    }
    const entry_incarnation id(a.self.incarnation);
    const bool is_new = records_.count(id) == 0;
    auto& peer = records_[id];
    peer.announcement = a;
    peer.last_received = loop_.now();
    peer.lost = false;
    if (is_new)
    {
        event e;
        e.kind = event_kind::entry_connected;
        e.peer = a.self.name;
        events_.record(std::move(e));
        for (auto& [other_id, other] : records_)
        {
            if (other_id != id && !other.lost &&
                other.announcement.self.name == a.self.name)
            {
                mark_lost(other);
            }
        }
    }
    if (announcement_handler_)
    {
        announcement_handler_(peer);
    }
}

void entry_directory::mark_silent_lost()
{
    const auto now = loop_.now();
    for (auto& [id, peer] : records_)
    {
        if (!peer.lost && now - peer.last_received > options_.silence_timeout)
        {
            mark_lost(peer);
        }
    }
}

void entry_directory::mark_lost(peer_record& peer)
{
    peer.lost = true;
    event e;
    e.kind = event_kind::entry_lost;
    e.peer = peer.announcement.self.name;
    events_.record(std::move(e));
}

const peer_record* entry_directory::find(entry_incarnation id) const
{
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
}

std::vector<peer_record> entry_directory::live() const
{
    std::vector<peer_record> out;
    for (const auto& [id, peer] : records_)
    {
        if (!peer.lost)
        {
            out.push_back(peer);
        }
    }
    return out;
}

bool entry_directory::discovery_complete() const
{
    return loop_.now() - started_ > options_.silence_timeout;
}

uint64_t entry_directory::dropped_datagrams() const noexcept
{
    return socket_.dropped();
}

} // namespace agatebank
