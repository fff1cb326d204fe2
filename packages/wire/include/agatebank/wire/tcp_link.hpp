#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/wire/authenticator.hpp>
#include <agatebank/wire/codec.hpp>
#include <agatebank/wire/link_traffic.hpp>

#include <gio/gio.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace agatebank
{

/// @brief Limits and periods of a connection between two processes.
struct link_options
{
    duration heartbeat_period = std::chrono::milliseconds(400);
    duration silence_timeout = std::chrono::milliseconds(1200);
    std::size_t max_frame_bytes = 16U << 20U;
    std::size_t max_queued_bytes = 64U << 20U;
    /// If true, a heartbeat is sent only if nothing else was sent within the
    /// heartbeat period.
    bool heartbeat_only_when_idle = false;
    /// If false, the link has no timer and its owner calls
    /// @ref tcp_link::on_heartbeat_timer, so that many links can share one
    /// timer.
    bool own_timer = true;
};

/// @brief Returns whether a link sends a heartbeat now.
/// @param last_heartbeat when the link last sent one
/// @param last_message when the link last sent any message
bool is_heartbeat_due(const link_options& options, time_point now,
                      time_point last_heartbeat, time_point last_message);

/// @brief Dependencies and options that all links of a process share.
struct link_context
{
    event_loop& loop;
    hybrid_clock& clock;
    const authenticator& auth;
    link_options options;
    std::function<config_version()> current_version;
};

/// @brief Callbacks of a link's owner. Each of them may destroy the link.
struct link_handlers
{
    std::function<void(message&&)> on_message; ///< not for heartbeats
    std::function<void(const heartbeat&)> on_heartbeat;
    std::function<void(const failure&)> on_closed; ///< at most once
};

/// @brief Exchanges messages over one TCP connection. Each side first sends a
/// random nonce. Each frame then consists of a length of 4 bytes, a tag, a
/// reading of the sender's clock of 8 bytes and a message; tags also cover the
/// nonces of both sides and the frame's position in the stream, so that a frame
/// cannot be replayed. The link sends a heartbeat in each heartbeat period. It
/// closes when nothing has been received that was sent within the silence
/// timeout, and delivers nothing that was under way for longer: others may have
/// acted on the silence by then.
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
    /// @brief Queues a message. It is written in the next iteration of the
    /// event loop. Does nothing after the link has closed.
    void send(const message& m);
    /// @brief Sends a heartbeat if one is due, and closes the link if the
    /// silence timeout has passed. To be called every half heartbeat period.
    void on_heartbeat_timer();

    // lookup
    /// @brief Address and port of the peer.
    const std::string& peer() const noexcept;
    const link_traffic& traffic() const noexcept;
    /// @brief How long the last message was under way beyond the fastest recent
    /// one: on the network, and until each process had time for it. It counts
    /// from the beginning of the sender's iteration of its event loop.
    duration delay() const noexcept;
    /// @brief When the peer sent what was received last, by the own clock.
    time_point last_heard() const noexcept;
    /// @brief Smallest round trip measured; zero before the first measurement.
    duration round_trip() const noexcept;
    /// @brief Estimate of the peer's process clock at @p now. It is behind the
    /// real value by at most a one-way delay. Empty before the first heartbeat.
    std::optional<int64_t> peer_clock_us(time_point now) const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace agatebank
