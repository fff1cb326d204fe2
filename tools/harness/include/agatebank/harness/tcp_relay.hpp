#pragma once

#include <agatebank/loop/event_loop.hpp>
#include <agatebank/loop/object_ptr.hpp>
#include <agatebank/wire/tcp_connector.hpp>

#include <gio/gio.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace agatebank
{

/// @brief Forwards TCP connections to an upstream port. Can stop forwarding
/// without closing the connections, like a NAT device or firewall that has
/// dropped its connection state.
class tcp_relay
{
  public:
    // construction
    /// @param port port to listen on; 0 selects any free port
    /// @param upstream_port port on 127.0.0.1 to forward to
    /// @throw std::runtime_error if listening on the port fails
    tcp_relay(uint16_t port, uint16_t upstream_port);
    /// @param local where to listen
    /// @param upstream where to forward to
    /// @throw std::runtime_error if listening fails
    tcp_relay(const endpoint& local, endpoint upstream);
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    // modifiers
    /// @brief Closes every open connection.
    void cut();
    /// @brief Stops forwarding on every open connection, permanently, without
    /// closing any.
    void forget();
    /// @brief While held, received bytes are buffered; they are forwarded when
    /// the hold ends.
    void hold(bool held);
    /// @brief The same for the bytes from the upstream to the client.
    void hold_to_client(bool held);
    /// @brief The same for the bytes from the client to the upstream.
    void hold_to_upstream(bool held);
    /// @brief From now on, bytes from the upstream reach the client this much
    /// later, in order and without gaps, like on a link with a long queue. The
    /// end of a connection comes right behind the bytes before it, at once if
    /// there are none.
    void delay_to_client(duration delay);
    /// @brief The same for the bytes from the client to the upstream.
    void delay_to_upstream(duration delay);
    /// @brief From now on for this time, what is sent to the upstream is lost,
    /// as if its VM were suspended, and sent again after 200 ms, doubled each
    /// time. What is behind it follows a round trip later.
    void lose_to_upstream(duration length);
    /// @brief While blocked, new connections are accepted but not forwarded.
    void block(bool blocked);

    // lookup
    uint16_t port() const noexcept;
    std::size_t connections() const noexcept;

  private:
    /// What happens to the bytes of one direction.
    struct flow_state
    {
        bool held = false;
        duration delay{};
        gint64 lost_until_us = 0; ///< monotonic
    };
    struct relayed_connection;

    void apply_states();
    void erase_closed();
    static gboolean on_incoming(GSocketService* service,
                                GSocketConnection* connection, GObject* source,
                                gpointer self);

    object_ptr<GSocketService> service_;
    endpoint upstream_;
    uint16_t port_ = 0;
    bool blocked_ = false;
    flow_state to_client_;
    flow_state to_upstream_;
    uint64_t next_id_ = 0;
    std::map<uint64_t, std::shared_ptr<relayed_connection>> connections_;
};

} // namespace agatebank
