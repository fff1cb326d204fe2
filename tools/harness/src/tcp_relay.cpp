#include <agatebank/harness/tcp_relay.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <vector>

namespace agatebank
{

namespace
{

constexpr gsize read_bytes = 64U << 10U;
constexpr const char* loopback = "127.0.0.1";

} // namespace

// Both directions of one relayed connection. Pending operations hold a
// reference to it.
struct tcp_relay::relayed_connection
{
    object_ptr<GSocketConnection> client_side;
    object_ptr<GSocketConnection> upstream_side;
    object_ptr<GCancellable> cancellable{g_cancellable_new()};
    bool held = false;
    duration delay_to_client{};
    gint64 last_delivery_us = 0; ///< to the client, of delayed bytes

    struct transfer
    {
        std::shared_ptr<relayed_connection> owner;
        GInputStream* from = nullptr;
        GOutputStream* to = nullptr;
        bool to_client = false;
        bytes_ptr chunk;
    };

    std::vector<std::unique_ptr<transfer>> held_transfers;

    void hold(bool on)
    {
        held = on;
        if (!held)
        {
            for (auto& current : std::exchange(held_transfers, {}))
            {
                write(std::move(current));
            }
        }
    }

    // Connects asynchronously: a stopped upstream process may never answer, and
    // the loop must not block on it.
    static void connect(const std::shared_ptr<relayed_connection>& p,
                        const endpoint& upstream)
    {
        const object_ptr<GSocketClient> client(g_socket_client_new());
        g_socket_client_set_enable_proxy(client.get(), FALSE);
        g_socket_client_connect_to_host_async(
            client.get(), upstream.address.c_str(), upstream.port,
            p->cancellable.get(), on_connected,
            new std::shared_ptr<relayed_connection>(p));
    }

    static void on_connected(GObject* source, GAsyncResult* res, gpointer data)
    {
        const std::unique_ptr<std::shared_ptr<relayed_connection>> holder(
            static_cast<std::shared_ptr<relayed_connection>*>(data));
        const auto& p = *holder;
        p->upstream_side.reset(g_socket_client_connect_to_host_finish(
            G_SOCKET_CLIENT(source), res, nullptr));
        if (p->stopped())
        {
            return;
        }
        if (!p->upstream_side)
        {
            p->close();
            return;
        }
        start(p);
    }

    static void start(const std::shared_ptr<relayed_connection>& p)
    {
        run(p, p->client_side.get(), p->upstream_side.get(), false);
        run(p, p->upstream_side.get(), p->client_side.get(), true);
    }

    static void run(const std::shared_ptr<relayed_connection>& p,
                    GSocketConnection* from, GSocketConnection* to,
                    bool to_client)
    {
        auto current = std::make_unique<transfer>();
        current->to_client = to_client;
        current->owner = p;
        current->from = g_io_stream_get_input_stream(G_IO_STREAM(from));
        current->to = g_io_stream_get_output_stream(G_IO_STREAM(to));
        read(std::move(current));
    }

    static void read(std::unique_ptr<transfer> current)
    {
        auto* raw = current.release();
        g_input_stream_read_bytes_async(
            raw->from, read_bytes, G_PRIORITY_DEFAULT,
            raw->owner->cancellable.get(), on_read, raw);
    }

    static void on_read(GObject* source, GAsyncResult* res, gpointer data)
    {
        std::unique_ptr<transfer> current(static_cast<transfer*>(data));
        current->chunk.reset(g_input_stream_read_bytes_finish(
            G_INPUT_STREAM(source), res, nullptr));
        if (current->owner->stopped())
        {
            return;
        }
        if (!current->chunk || g_bytes_get_size(current->chunk.get()) == 0)
        {
            current->owner->close();
            return;
        }
        if (current->owner->held)
        {
            auto& buffered = current->owner->held_transfers;
            buffered.push_back(std::move(current));
            return;
        }
        if (current->to_client && current->owner->delay_to_client.count() != 0)
        {
            deliver_later(std::move(current));
            return;
        }
        write(std::move(current));
    }

    // Schedules the delivery of a chunk and reads on.
    static void deliver_later(std::unique_ptr<transfer> current)
    {
        const auto now = g_get_monotonic_time();
        auto& last = current->owner->last_delivery_us;
        last = std::max(last, now + current->owner->delay_to_client.count());
        auto delivery = std::make_unique<transfer>();
        delivery->owner = current->owner;
        delivery->to = current->to;
        delivery->chunk = std::move(current->chunk);
        const auto wait_ms = static_cast<guint>((last - now + 999) / 1000);
        g_timeout_add(wait_ms, deliver, delivery.release());
        read(std::move(current));
    }

    static gboolean deliver(gpointer data)
    {
        const std::unique_ptr<transfer> current(static_cast<transfer*>(data));
        if (!current->owner->stopped())
        {
            gsize n = 0;
            const void* bytes = g_bytes_get_data(current->chunk.get(), &n);
            g_output_stream_write_all(current->to, bytes, n, nullptr, nullptr,
                                      nullptr);
        }
        return G_SOURCE_REMOVE;
    }

    static void write(std::unique_ptr<transfer> current)
    {
        auto* raw = current.release();
        gsize n = 0;
        const void* bytes = g_bytes_get_data(raw->chunk.get(), &n);
        g_output_stream_write_all_async(raw->to, bytes, n, G_PRIORITY_DEFAULT,
                                        raw->owner->cancellable.get(),
                                        on_written, raw);
    }

    static void on_written(GObject* source, GAsyncResult* res, gpointer data)
    {
        std::unique_ptr<transfer> current(static_cast<transfer*>(data));
        const bool ok =
            g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), res,
                                             nullptr, nullptr) == TRUE;
        if (current->owner->stopped())
        {
            return;
        }
        if (!ok)
        {
            current->owner->close();
            return;
        }
        read(std::move(current));
    }

    bool stopped() const
    {
        return g_cancellable_is_cancelled(cancellable.get()) == TRUE;
    }

    // Stops forwarding and discards buffered bytes; the sockets stay open.
    void forget()
    {
        g_cancellable_cancel(cancellable.get());
        held_transfers.clear();
    }

    void close()
    {
        forget();
        for (const auto* c : {&client_side, &upstream_side})
        {
            if (*c)
            {
                g_io_stream_close(G_IO_STREAM(c->get()), nullptr, nullptr);
            }
        }
    }
};

tcp_relay::tcp_relay(uint16_t port, uint16_t upstream_port)
    : tcp_relay({loopback, port}, {loopback, upstream_port})
{
}

tcp_relay::tcp_relay(const endpoint& local, endpoint upstream)
    : service_(g_socket_service_new()), upstream_(std::move(upstream))
{
    const object_ptr<GSocketAddress> requested_address(
        g_inet_socket_address_new_from_string(local.address.c_str(),
                                              local.port));
    GSocketAddress* bound = nullptr;
    if (g_socket_listener_add_address(
            G_SOCKET_LISTENER(service_.get()), requested_address.get(),
            G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, &bound,
            nullptr) == FALSE)
    {
        throw std::runtime_error("relay cannot listen at " + local.to_string());
    }
    const object_ptr<GSocketAddress> owner(bound);
    port_ = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
    g_signal_connect(service_.get(), "incoming", G_CALLBACK(on_incoming), this);
    g_socket_service_start(service_.get());
}

tcp_relay::~tcp_relay()
{
    g_signal_handlers_disconnect_by_data(service_.get(), this);
    g_socket_service_stop(service_.get());
    g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
    cut();
}

gboolean tcp_relay::on_incoming(GSocketService*, GSocketConnection* connection,
                                GObject*, gpointer data)
{
    auto* self = static_cast<tcp_relay*>(data);
    auto p = std::make_shared<relayed_connection>();
    p->client_side = share_object(connection);
    self->connections_[++self->next_id_] = p;
    if (self->blocked_)
    {
        return TRUE;
    }
    p->hold(self->held_);
    p->delay_to_client = self->delay_to_client_;
    relayed_connection::connect(p, self->upstream_);
    return TRUE;
}

void tcp_relay::cut()
{
    for (const auto& it : connections_)
    {
        it.second->close();
    }
    connections_.clear();
}

void tcp_relay::forget()
{
    for (const auto& it : connections_)
    {
        it.second->forget();
    }
}

void tcp_relay::hold(bool held)
{
    held_ = held;
    for (const auto& it : connections_)
    {
        it.second->hold(held);
    }
}

void tcp_relay::delay_to_client(duration delay)
{
    delay_to_client_ = delay;
    for (const auto& it : connections_)
    {
        it.second->delay_to_client = delay;
    }
}

void tcp_relay::block(bool blocked)
{
    blocked_ = blocked;
}

uint16_t tcp_relay::port() const noexcept
{
    return port_;
}

std::size_t tcp_relay::connections() const noexcept
{
    return connections_.size();
}

} // namespace agatebank
