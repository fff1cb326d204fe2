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

/// @brief Another entry as its announcements describe it.
struct peer_record
{
    entry_announcement announcement;
    time_point last_heard;
    bool gone = false; ///< replaced by another incarnation, or silent

    endpoint wire_endpoint() const
    {
        return {announcement.address, announcement.port};
    }
};

/// @brief Periods of the announcements.
struct membership_options
{
    duration announce_period = std::chrono::milliseconds(500);
    duration silence_timeout = std::chrono::seconds(3);
};

/// @brief The other entries, known by the announcements they send over UDP.
class entry_directory
{
  public:
    using version_seen = std::function<void(const peer_record&)>;

    // construction
    /// @param peers addresses that announcements are sent to
    entry_directory(event_loop& loop, hybrid_clock& clock,
                    const authenticator& auth, event_ring& events,
                    std::vector<endpoint> peers, membership_options options);

    /// @brief Called when a peer announces a configuration version.
    void set_version_seen(version_seen handler);

    // life time
    /// @brief Binds the socket and begins to announce.
    result<void> start(const endpoint& local, const entry_announcement& self);
    /// @brief Changes what is announced and announces it at once.
    void announce(config_version version, bool leaving);

    // lookup
    /// @brief The entry of an incarnation; null when never heard of.
    const peer_record* find(entry_incarnation id) const;
    /// @brief Entries that are not gone.
    std::vector<peer_record> live() const;
    /// @brief Whether peers have had the time to announce themselves.
    bool settled() const;
    uint64_t dropped_datagrams() const noexcept;

  private:
    void send_all();
    void take(const entry_announcement& a);
    void drop_silent();
    void mark_gone(peer_record& peer);

    event_loop& loop_;
    event_ring& events_;
    std::vector<endpoint> peers_;
    membership_options options_;
    datagram_socket socket_;
    entry_announcement self_;
    version_seen version_seen_;
    std::map<entry_incarnation, peer_record> records_;
    time_point started_;
    watch timer_;
};

} // namespace agatebank
