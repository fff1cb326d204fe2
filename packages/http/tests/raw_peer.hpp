#pragma once

#include <agatebank/loop/event_loop.hpp>
#include <agatebank/loop/object_ptr.hpp>

#include <gio/gio.h>

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <sys/socket.h>

namespace agatebank
{

/// @brief One end of a TCP connection on which a test sends and receives bytes
/// without an HTTP library.
class raw_connection
{
  public:
    using callback = std::function<void(raw_connection&)>;

    // construction
    /// @param on_change called after bytes or the end of the stream have been
    /// received
    raw_connection(object_ptr<GSocketConnection> connection, callback on_change)
        : connection_(std::move(connection)), on_change_(std::move(on_change))
    {
        g_socket_set_blocking(socket(), FALSE);
        source_.reset(g_socket_create_source(socket(), G_IO_IN, nullptr));
        g_source_set_callback(source_.get(), G_SOURCE_FUNC(on_readable), this,
                              nullptr);
        g_source_attach(source_.get(), nullptr);
    }

    // modifiers
    void send(std::string_view bytes)
    {
        g_socket_send(socket(), bytes.data(), bytes.size(), nullptr, nullptr);
    }
    /// @brief Closes the connection, with a TCP reset if @p abort is set.
    void close(bool abort = false)
    {
        source_.reset();
        const linger now{1, 0};
        if (abort)
        {
            setsockopt(g_socket_get_fd(socket()), SOL_SOCKET, SO_LINGER, &now,
                       sizeof now);
        }
        g_socket_close(socket(), nullptr);
    }

    // lookup
    uint16_t local_port() const
    {
        const object_ptr<GSocketAddress> address(
            g_socket_connection_get_local_address(connection_.get(), nullptr));
        return g_inet_socket_address_get_port(
            G_INET_SOCKET_ADDRESS(address.get()));
    }
    const std::string& received() const
    {
        return received_;
    }
    bool ended() const
    {
        return ended_;
    }

  private:
    GSocket* socket() const
    {
        return g_socket_connection_get_socket(connection_.get());
    }

    static gboolean on_readable(GSocket*, GIOCondition, gpointer data)
    {
        auto* self = static_cast<raw_connection*>(data);
        std::array<char, 4096> buf;
        const auto n = g_socket_receive(self->socket(), buf.data(), buf.size(),
                                        nullptr, nullptr);
        if (n > 0)
        {
            self->received_.append(buf.data(), static_cast<std::size_t>(n));
        }
        else
        {
            self->ended_ = true;
            self->source_.reset();
        }
        const auto on_change = self->on_change_;
        if (on_change)
        {
            on_change(*self);
        }
        return G_SOURCE_CONTINUE;
    }

    object_ptr<GSocketConnection> connection_;
    callback on_change_;
    std::string received_;
    bool ended_ = false;
    source_ptr source_;
};

/// @brief Opens a connection to a loopback port; null if it is refused.
inline std::unique_ptr<raw_connection>
raw_connect(uint16_t port, raw_connection::callback on_change)
{
    const object_ptr<GSocketClient> client(g_socket_client_new());
    g_socket_client_set_proxy_resolver(client.get(), nullptr);
    g_socket_client_set_enable_proxy(client.get(), FALSE);
    object_ptr<GSocketConnection> connection(g_socket_client_connect_to_host(
        client.get(), "127.0.0.1", port, nullptr, nullptr));
    return connection ? std::make_unique<raw_connection>(std::move(connection),
                                                         std::move(on_change))
                      : nullptr;
}

/// @brief Accepts connections and stores them for inspection.
class raw_listener
{
  public:
    // construction
    explicit raw_listener(raw_connection::callback on_change)
        : on_change_(std::move(on_change)), service_(g_socket_service_new())
    {
        port_ = g_socket_listener_add_any_inet_port(
            G_SOCKET_LISTENER(service_.get()), nullptr, nullptr);
        g_signal_connect(service_.get(), "incoming", G_CALLBACK(on_incoming),
                         this);
        g_socket_service_start(service_.get());
    }
    ~raw_listener()
    {
        g_signal_handlers_disconnect_by_data(service_.get(), this);
        g_socket_service_stop(service_.get());
        g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
    }
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    // lookup
    uint16_t port() const
    {
        return port_;
    }
    const std::list<raw_connection>& connections() const
    {
        return connections_;
    }
    std::list<raw_connection>& connections()
    {
        return connections_;
    }

    // hooks
    raw_connection::callback on_accept;

  private:
    static gboolean on_incoming(GSocketService*, GSocketConnection* connection,
                                GObject*, gpointer data)
    {
        auto* self = static_cast<raw_listener*>(data);
        auto& c = self->connections_.emplace_back(share_object(connection),
                                                  self->on_change_);
        if (self->on_accept)
        {
            self->on_accept(c);
        }
        return TRUE;
    }

    raw_connection::callback on_change_;
    object_ptr<GSocketService> service_;
    uint16_t port_ = 0;
    std::list<raw_connection> connections_;
};

} // namespace agatebank
