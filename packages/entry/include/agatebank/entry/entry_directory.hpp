#pragma once

#include <agatebank/core/event.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/loop/timer_queue.hpp>
#include <agatebank/wire/datagram_socket.hpp>
#include <agatebank/wire/messages.hpp>
#include <agatebank/wire/tcp_connector.hpp>

#include <functional>
#include <map>
#include <vector>

namespace agatebank
{

/// @brief Another entry, as described by its last announcement.
struct peer_record
{
    entry_announcement announcement;
    time_point last_received;
    /// replaced by another incarnation, or silent for the silence timeout
    bool lost = false;

    endpoint wire_endpoint() const
    {
        return {announcement.address, announcement.port};
    }
};

/// @brief Timing of the announcements.
struct membership_options
{
    duration announce_period = std::chrono::milliseconds(500);
    /// time without an announcement after which an entry counts as lost
    duration silence_timeout = std::chrono::seconds(3);
};

/// @brief Discovers the other entries by the announcements that each sends over
/// UDP, and announces this entry to them.
class entry_directory
{
  public:
    using announcement_handler = std::function<void(const peer_record&)>;

    // construction
    /// @param peers addresses to which announcements are sent
    entry_directory(event_loop& loop, hybrid_clock& clock,
                    const authenticator& auth, event_ring& events,
                    std::vector<endpoint> peers, membership_options options);

    /// @brief Sets the handler called at each announcement of a peer.
    void on_announcement(announcement_handler handler);

    // lifetime
    /// @brief Binds the socket and starts the periodic announcements.
    result<void> start(const endpoint& local, const entry_announcement& self);
    /// @brief Changes the announced state and sends it at once.
    void announce(config_version version, bool leaving);

    // lookup
    /// @return nullptr when no announcement of this incarnation was received
    const peer_record* find(entry_incarnation id) const;
    /// @brief The entries that are not lost.
    std::vector<peer_record> live() const;
    /// @brief Whether the silence timeout has passed since the start, so that
    /// every live peer has had time to announce itself.
    bool discovery_complete() const;
    /// @brief Number of received datagrams that were rejected.
    uint64_t dropped_datagrams() const noexcept;

  private:
    void send_announcements();
    void process_announcement(const entry_announcement& a);
    void mark_silent_lost();
    void mark_lost(peer_record& peer);

    event_loop& loop_;
    event_ring& events_;
    std::vector<endpoint> peers_;
    membership_options options_;
    datagram_socket socket_;
    entry_announcement self_;
    announcement_handler announcement_handler_;
    std::map<entry_incarnation, peer_record> records_;
    time_point started_;
    watch timer_;
};

} // namespace agatebank
