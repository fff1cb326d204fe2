#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/wire/authenticator.hpp>
#include <agatebank/wire/codec.hpp>

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace agatebank
{

/// @brief Bounds and periods of a connection between two processes.
struct link_options
{
    duration heartbeat_period = std::chrono::milliseconds(400);
    duration silence_timeout = std::chrono::milliseconds(1200);
    std::size_t max_frame_bytes = 16U << 20U;
    std::size_t max_queued_bytes = 64U << 20U;
    /// false: the owner calls @ref tcp_link::on_period, for many links at once
    bool own_timer = true;
};

/// @brief Bytes and messages that crossed a link.
struct link_traffic
{
    uint64_t messages_sent = 0;
    uint64_t messages_received = 0;
    uint64_t bytes_sent = 0;
    uint64_t bytes_received = 0;
};

/// @brief What a process has in common for all its links.
struct link_context
{
    event_loop& loop;
    hybrid_clock& clock;
    const authenticator& auth;
    link_options options;
    std::function<config_version()> current_version;
};

/// @brief Callbacks of a link's owner. The link may be destroyed in any.
struct link_handlers
{
    std::function<void(message&&)> on_message; ///< not for heartbeats
    std::function<void(const heartbeat&)> on_heartbeat;
    std::function<void(const failure&)> on_closed; ///< at most once
};

/// @brief Messages over one TCP connection. Each frame is a length of 4
/// bytes, a tag, and a message; tags cover both sides' random nonces and the
/// frame's position, so no frame can be replayed. Sends a heartbeat when
/// idle and closes when the peer is silent.
class tcp_link
{
  public:
    // construction
    tcp_link(const link_context& context,
             object_ptr<GSocketConnection> connection, link_handlers handlers);
    ~tcp_link();
    tcp_link(const tcp_link&) = delete;
    tcp_link& operator=(const tcp_link&) = delete;

    // modifiers
    /// @brief Queues a message; written when the loop comes round.
    void send(const message& m);
    /// @brief Sends a heartbeat that is due, closes when the peer is silent;
    /// called every half heartbeat period.
    void on_period();

    // lookup
    /// @brief Address and port of the peer.
    const std::string& peer() const noexcept;
    const link_traffic& traffic() const noexcept;
    /// @brief The smallest measured round trip; zero before the first.
    duration round_trip() const noexcept;
    /// @brief The peer's process clock now; early by at most a one-way delay.
    /// Empty before its first heartbeat.
    std::optional<int64_t> peer_clock_us(time_point now) const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace agatebank
