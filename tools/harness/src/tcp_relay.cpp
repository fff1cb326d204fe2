#include <agatebank/harness/tcp_relay.hpp>

#include <algorithm>
#include <deque>
#include <stdexcept>
#include <utility>
#include <vector>

namespace agatebank
{

namespace
{

constexpr gsize read_bytes = 64U << 10U;
/// Bytes that wait in one direction of a connection before it reads no more.
constexpr gsize max_queue_bytes = 1U << 20U;
constexpr const char* loopback = "127.0.0.1";
/// TCP's time until it sends a lost segment again, at first.
constexpr gint64 first_retransmission_us = 200'000;
/// A lost segment is acknowledged this long after it arrived.
constexpr gint64 round_trip_us = 10'000;

} // namespace

// Both directions of one relayed connection. Pending operations hold a
// reference to it.
struct tcp_relay::relayed_connection
{
    // The bytes of one direction, in the order of their arrival.
    struct flow
    {
        struct item
        {
            gint64 due_us = 0;
            bytes_ptr chunk; ///< null: the end of the connection
        };

        GInputStream* from = nullptr;
        GOutputStream* to = nullptr;
        flow_state state;
        std::deque<item> queue;
        gsize queued_bytes = 0;
        gint64 last_due_us = 0;
        bool reading = false;
        bool writing = false;
        guint timer = 0;
    };
    // An operation in progress of one direction.
    struct operation
    {
        std::shared_ptr<relayed_connection> owner;
        flow* direction = nullptr;
        bytes_ptr chunk;
    };

    object_ptr<GSocketConnection> client_side;
    object_ptr<GSocketConnection> upstream_side;
    object_ptr<GCancellable> cancellable{g_cancellable_new()};
    flow to_client;
    flow to_upstream;
    bool closed = false;

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
        begin(p, p->to_upstream, p->client_side.get(), p->upstream_side.get());
        begin(p, p->to_client, p->upstream_side.get(), p->client_side.get());
    }

    static void begin(const std::shared_ptr<relayed_connection>& p, flow& f,
                      GSocketConnection* from, GSocketConnection* to)
    {
        f.from = g_io_stream_get_input_stream(G_IO_STREAM(from));
        f.to = g_io_stream_get_output_stream(G_IO_STREAM(to));
        read(p, f);
    }

    static void set_state(const std::shared_ptr<relayed_connection>& p, flow& f,
                          const flow_state& state)
    {
        f.state = state;
        pump(p, f);
    }

    static void read(const std::shared_ptr<relayed_connection>& p, flow& f)
    {
        if (f.reading || f.from == nullptr || f.queued_bytes >= max_queue_bytes)
        {
            return;
        }
        f.reading = true;
        g_input_stream_read_bytes_async(f.from, read_bytes, G_PRIORITY_DEFAULT,
                                        p->cancellable.get(), on_read,
                                        new operation{p, &f, nullptr});
    }

    static void on_read(GObject* source, GAsyncResult* res, gpointer data)
    {
        const std::unique_ptr<operation> op(static_cast<operation*>(data));
        const auto& p = op->owner;
        auto& f = *op->direction;
        f.reading = false;
        bytes_ptr chunk(g_input_stream_read_bytes_finish(G_INPUT_STREAM(source),
                                                         res, nullptr));
        if (p->stopped())
        {
            return;
        }
        const auto n = chunk ? g_bytes_get_size(chunk.get()) : 0;
        if (n == 0)
        {
            // The end of the connection stays behind the bytes before it.
            f.queue.push_back({arrival(f, 0), nullptr});
            if (f.queue.size() == 1 && !f.writing &&
                f.queue.front().due_us <= g_get_monotonic_time())
            {
                p->close();
                return;
            }
        }
        else
        {
            f.queued_bytes += n;
            f.queue.push_back(
                {arrival(f, f.state.delay.count()), std::move(chunk)});
            read(p, f);
        }
        pump(p, f);
    }

    // Returns when what was received now arrives at the other side.
    static gint64 arrival(flow& f, gint64 delay_us)
    {
        const auto now = g_get_monotonic_time();
        if (now >= f.state.lost_until_us)
        {
            f.last_due_us = std::max(f.last_due_us, now + delay_us);
            return f.last_due_us;
        }
        auto sent = now;
        for (auto wait = first_retransmission_us; sent < f.state.lost_until_us;
             wait *= 2)
        {
            sent += wait;
        }
        const auto due = std::max(f.last_due_us, sent + delay_us);
        f.last_due_us = due + round_trip_us;
        return due;
    }

    // Writes the first chunk if it is due, else waits until it is.
    static void pump(const std::shared_ptr<relayed_connection>& p, flow& f)
    {
        if (f.state.held || f.writing || f.timer != 0 || f.queue.empty() ||
            p->stopped())
        {
            return;
        }
        const auto wait_us = f.queue.front().due_us - g_get_monotonic_time();
        if (wait_us > 0)
        {
            f.timer = g_timeout_add_full(
                G_PRIORITY_DEFAULT, static_cast<guint>((wait_us + 999) / 1000),
                on_due, new operation{p, &f, nullptr}, free_operation);
            return;
        }
        if (!f.queue.front().chunk)
        {
            p->close();
            return;
        }
        auto op = std::make_unique<operation>();
        op->owner = p;
        op->direction = &f;
        op->chunk = std::move(f.queue.front().chunk);
        f.queue.pop_front();
        f.writing = true;
        gsize n = 0;
        const void* bytes = g_bytes_get_data(op->chunk.get(), &n);
        f.queued_bytes -= n;
        g_output_stream_write_all_async(f.to, bytes, n, G_PRIORITY_DEFAULT,
                                        p->cancellable.get(), on_written,
                                        op.release());
    }

    static gboolean on_due(gpointer data)
    {
        const auto* op = static_cast<operation*>(data);
        op->direction->timer = 0;
        pump(op->owner, *op->direction);
        return G_SOURCE_REMOVE;
    }

    static void free_operation(gpointer data)
    {
        const std::unique_ptr<operation> op(static_cast<operation*>(data));
    }

    static void on_written(GObject* source, GAsyncResult* res, gpointer data)
    {
        const std::unique_ptr<operation> op(static_cast<operation*>(data));
        const bool ok =
            g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), res,
                                             nullptr, nullptr) == TRUE;
        const auto& p = op->owner;
        auto& f = *op->direction;
        f.writing = false;
        if (p->stopped())
        {
            return;
        }
        if (!ok)
        {
            p->close();
            return;
        }
        pump(p, f);
        if (!p->stopped())
        {
            read(p, f);
        }
    }

    bool stopped() const
    {
        return g_cancellable_is_cancelled(cancellable.get()) == TRUE;
    }

    // Stops forwarding and discards buffered bytes; the sockets stay open.
    void forget()
    {
        g_cancellable_cancel(cancellable.get());
        for (auto* it : {&to_client, &to_upstream})
        {
            it->queue.clear();
        }
    }

    void close()
    {
        closed = true;
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
    self->erase_closed();
    auto p = std::make_shared<relayed_connection>();
    p->client_side = share_object(connection);
    self->connections_[++self->next_id_] = p;
    if (self->blocked_)
    {
        return TRUE;
    }
    p->to_client.state = self->to_client_;
    p->to_upstream.state = self->to_upstream_;
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
    hold_to_client(held);
    hold_to_upstream(held);
}

void tcp_relay::hold_to_client(bool held)
{
    to_client_.held = held;
    apply_states();
}

void tcp_relay::hold_to_upstream(bool held)
{
    to_upstream_.held = held;
    apply_states();
}

void tcp_relay::delay_to_client(duration delay)
{
    to_client_.delay = delay;
    apply_states();
}

void tcp_relay::delay_to_upstream(duration delay)
{
    to_upstream_.delay = delay;
    apply_states();
}

void tcp_relay::lose_to_upstream(duration length)
{
    to_upstream_.lost_until_us = g_get_monotonic_time() + length.count();
    apply_states();
}

void tcp_relay::erase_closed()
{
    std::erase_if(connections_,
                  [](const auto& it) { return it.second->closed; });
}

void tcp_relay::apply_states()
{
    const auto connections = connections_;
    for (const auto& it : connections)
    {
        relayed_connection::set_state(it.second, it.second->to_client,
                                      to_client_);
        relayed_connection::set_state(it.second, it.second->to_upstream,
                                      to_upstream_);
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
