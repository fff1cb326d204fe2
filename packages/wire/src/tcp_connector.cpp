#include <agatebank/loop/accept_queue.hpp>
#include <agatebank/wire/tcp_connector.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_listen = "tcp.listen";
constexpr const char* step_connect = "tcp.connect";

struct pending_connect
{
    object_ptr<GCancellable> cancellable{g_cancellable_new()};
    tcp_connector::completion done;
    std::string peer;
};

using pending_ptr = std::shared_ptr<pending_connect>;

void on_connected(GObject* source, GAsyncResult* res, gpointer data)
{
    const std::unique_ptr<pending_ptr> holder(static_cast<pending_ptr*>(data));
    GError* raw = nullptr;
    object_ptr<GSocketConnection> connection(
        g_socket_client_connect_finish(G_SOCKET_CLIENT(source), res, &raw));
    const error_ptr error(raw);
    const auto done = std::exchange((*holder)->done, nullptr);
    if (!done)
    {
        return;
    }
    if (!connection)
    {
        done(fail(errc::peer_unreachable, step_connect, (*holder)->peer,
                  error->message));
        return;
    }
    done(std::move(connection));
}

} // namespace

std::string endpoint::to_string() const
{
    return address + ":" + std::to_string(port);
}

bool is_loopback(const std::string& address)
{
    const object_ptr<GInetAddress> inet(
        g_inet_address_new_from_string(address.c_str()));
    return inet && g_inet_address_get_is_loopback(inet.get()) == TRUE;
}

tcp_listener::tcp_listener(on_connection handler)
    : handler_(std::move(handler)), service_(g_socket_service_new())
{
    g_socket_listener_set_backlog(G_SOCKET_LISTENER(service_.get()),
                                  accept_queue_length);
    g_signal_connect(service_.get(), "incoming", G_CALLBACK(on_incoming), this);
}

tcp_listener::~tcp_listener()
{
    close();
    g_signal_handlers_disconnect_by_data(service_.get(), this);
}

result<uint16_t> tcp_listener::listen(const endpoint& local)
{
    const object_ptr<GSocketAddress> address(
        g_inet_socket_address_new_from_string(local.address.c_str(),
                                              local.port));
    if (!address)
    {
        return fail(errc::settings_invalid, step_listen, local.to_string(),
                    "not an IP address");
    }
    GSocketAddress* raw_effective = nullptr;
    GError* raw = nullptr;
    if (g_socket_listener_add_address(G_SOCKET_LISTENER(service_.get()),
                                      address.get(), G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, nullptr,
                                      &raw_effective, &raw) == FALSE)
    {
        const error_ptr error(raw);
        return fail(errc::address_in_use, step_listen, local.to_string(),
                    error->message);
    }
    const object_ptr<GSocketAddress> effective(raw_effective);
    return g_inet_socket_address_get_port(
        G_INET_SOCKET_ADDRESS(effective.get()));
}

void tcp_listener::close()
{
    g_socket_service_stop(service_.get());
    g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
}

gboolean tcp_listener::on_incoming(GSocketService*,
                                   GSocketConnection* connection, GObject*,
                                   gpointer self)
{
    static_cast<tcp_listener*>(self)->handler_(share_object(connection));
    return TRUE;
}

tcp_connector::tcp_connector(duration timeout) : client_(g_socket_client_new())
{
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(timeout).count();
    g_socket_client_set_enable_proxy(client_.get(), FALSE);
    g_socket_client_set_timeout(
        client_.get(), static_cast<guint>(std::max<int64_t>(1, seconds)));
}

std::shared_ptr<void> tcp_connector::connect(const endpoint& remote,
                                             completion done)
{
    auto p = std::make_shared<pending_connect>();
    p->done = std::move(done);
    p->peer = remote.to_string();
    const object_ptr<GSocketAddress> address(
        g_inet_socket_address_new_from_string(remote.address.c_str(),
                                              remote.port));
    g_socket_client_connect_async(
        client_.get(), G_SOCKET_CONNECTABLE(address.get()),
        p->cancellable.get(), on_connected, new pending_ptr(p));
    return {p.get(), [p](void*)
            {
                p->done = nullptr;
                g_cancellable_cancel(p->cancellable.get());
            }};
}

} // namespace agatebank
