#pragma once

#include <agatebank/loop/event_loop.hpp>
#include <agatebank/loop/object_ptr.hpp>

#include <gio/gio.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace agatebank
{

/// @brief Passes bytes between its port and an upstream port, and can lose
/// track of connections as a middle box does.
class tcp_relay
{
  public:
    // construction
    /// @param port to listen on, 0: any free one
    /// @param upstream_port port on 127.0.0.1 that connections go to
    /// @throw std::runtime_error if the port cannot be listened on
    tcp_relay(uint16_t port, uint16_t upstream_port);
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    // modifiers
    /// @brief Closes every open connection.
    void cut();
    /// @brief Every open connection goes silent for good; none is closed.
    void forget();
    /// @brief While held, bytes are kept back; they are passed on after.
    void hold(bool held);
    /// @brief While blocked, new connections are accepted and stay silent.
    void block(bool blocked);

    // lookup
    uint16_t port() const noexcept;
    std::size_t connections() const noexcept;

  private:
    struct passage;

    static gboolean on_incoming(GSocketService* service,
                                GSocketConnection* connection, GObject* source,
                                gpointer self);

    object_ptr<GSocketService> service_;
    uint16_t upstream_port_;
    uint16_t port_ = 0;
    bool blocked_ = false;
    bool held_ = false;
    uint64_t next_id_ = 0;
    std::map<uint64_t, std::shared_ptr<passage>> passages_;
};

} // namespace agatebank
