#include <agatebank/core/duration_math.hpp>
#include <agatebank/wire/frame_codec.hpp>
#include <agatebank/wire/peer_clock.hpp>
#include <agatebank/wire/tcp_link.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace agatebank
{

namespace
{

constexpr const char* step_read = "link.read";
constexpr const char* step_write = "link.write";
constexpr const char* step_silence = "link.silence";
constexpr std::size_t clock_bytes = 8;
constexpr std::size_t read_chunk_bytes = 64U << 10U;

std::string peer_address(GSocketConnection* connection)
{
    const object_ptr<GSocketAddress> address(
        g_socket_connection_get_remote_address(connection, nullptr));
    if (!address || G_IS_INET_SOCKET_ADDRESS(address.get()) == FALSE)
    {
        return "unknown";
    }
    auto* inet = G_INET_SOCKET_ADDRESS(address.get());
    char* text =
        g_inet_address_to_string(g_inet_socket_address_get_address(inet));
    std::string out = text;
    g_free(text);
    return out + ":" + std::to_string(g_inet_socket_address_get_port(inet));
}

int64_t to_us(time_point t)
{
    return t.time_since_epoch().count();
}

} // namespace

bool is_heartbeat_due(const link_options& options, time_point now,
                      time_point last_heartbeat, time_point last_message)
{
    const auto last = options.heartbeat_only_when_idle
                          ? std::max(last_heartbeat, last_message)
                          : last_heartbeat;
    return now - last >= options.heartbeat_period;
}

struct tcp_link::state : std::enable_shared_from_this<tcp_link::state>
{
    link_context context;
    object_ptr<GSocketConnection> connection;
    link_handlers handlers;
    std::string peer;
    link_traffic traffic;
    frame_codec frames;
    std::string receive_buffer;
    std::string send_buffer;
    std::size_t send_offset = 0;
    bool open = true;
    bool flush_pending = false;
    time_point last_heartbeat;
    time_point last_message_sent;
    time_point last_received;
    /// When bytes of an incomplete long frame were received last.
    time_point last_long_read;
    peer_clock remote_clock;
    socket_watch_id socket_watch;
    bool awaits_writable = false;
    watch timer;

    state(const link_context& c, object_ptr<GSocketConnection> conn,
          link_handlers h)
        : context(c)
        , connection(std::move(conn))
        , handlers(std::move(h))
        , frames(context.auth)
        , remote_clock(context.loop.now())
    {
    }

    GSocket* socket() const
    {
        return g_socket_connection_get_socket(connection.get());
    }

    // opening and closing

    void begin()
    {
        peer = peer_address(connection.get());
        g_socket_set_blocking(socket(), FALSE);
        g_socket_set_option(socket(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
        last_received = context.loop.now();
        send_buffer = frames.local_nonce();
        if (const auto watched = watch_socket(); !watched)
        {
            // The owner doesn't know the link yet.
            context.loop.defer(
                [weak = weak_from_this(), why = watched.error()]
                {
                    if (const auto self = weak.lock())
                    {
                        self->close(why);
                    }
                });
            return;
        }
        if (context.options.own_timer)
        {
            timer = context.loop.every(context.options.heartbeat_period / 2,
                                       [this] { check_heartbeat(); });
        }
        schedule_flush();
    }

    // Each callback keeps the link alive, because a handler may destroy it.
    result<void> watch_socket()
    {
        const auto id = context.loop.sockets().add(g_socket_get_fd(socket()),
                                                   {[this]
                                                    {
                                                        const auto keep =
                                                            shared_from_this();
                                                        read_available();
                                                    },
                                                    [this]
                                                    {
                                                        const auto keep =
                                                            shared_from_this();
                                                        flush();
                                                    }});
        if (!id)
        {
            auto why = id.error();
            why.peer = peer;
            return tl::unexpected(std::move(why));
        }
        socket_watch = *id;
        return {};
    }

    void end()
    {
        open = false;
        context.loop.sockets().remove(socket_watch);
        timer.reset();
        if (connection)
        {
            g_io_stream_close(G_IO_STREAM(connection.get()), nullptr, nullptr);
        }
        handlers = {};
    }

    // Closes the link and notifies the owner, which may destroy it.
    void close(const failure& reason)
    {
        if (!open)
        {
            return;
        }
        const auto keep = shared_from_this();
        const auto on_closed = handlers.on_closed;
        end();
        if (on_closed)
        {
            on_closed(reason);
        }
    }

    void close(errc e, const char* step, std::string detail = {})
    {
        close({make_error_code(e), step, peer, std::move(detail)});
    }

    // sending

    void send(const message& m)
    {
        if (!open)
        {
            return;
        }
        const auto read_until = context.loop.iteration_began();
        auto payload = encode_number(static_cast<uint64_t>(to_us(read_until)),
                                     clock_bytes) +
                       encode(context.clock.tick(), m);
        ++traffic.messages_sent;
        auto& kind = traffic.kinds[m.index()];
        ++kind.messages_sent;
        kind.bytes_sent += payload.size();
        // Heartbeats follow the clock reading, by which the peer judges.
        last_message_sent = read_until;
        // The tag covers the remote nonce, so payloads are held back until the
        // nonce has been received.
        if (!frames.has_remote_nonce() && context.auth.enabled())
        {
            untagged_payloads.push_back(std::move(payload));
            return;
        }
        append_frame(payload);
    }

    std::vector<std::string> untagged_payloads;

    void append_frame(std::string_view payload)
    {
        send_buffer += frames.encode(payload);
        schedule_flush();
    }

    void schedule_flush()
    {
        if (flush_pending || awaits_writable)
        {
            return;
        }
        flush_pending = true;
        context.loop.defer(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                {
                    self->flush_pending = false;
                    self->flush();
                }
            });
    }

    void flush()
    {
        if (!open)
        {
            return;
        }
        if (send_buffer.size() - send_offset > context.options.max_queued_bytes)
        {
            close(errc::peer_silent, step_write,
                  "send queue exceeds " +
                      std::to_string(context.options.max_queued_bytes) +
                      " bytes");
            return;
        }
        GError* raw = nullptr;
        const gssize n =
            g_socket_send(socket(), send_buffer.data() + send_offset,
                          send_buffer.size() - send_offset, nullptr, &raw);
        const error_ptr error(raw);
        if (n < 0 && g_error_matches(error.get(), G_IO_ERROR,
                                     G_IO_ERROR_WOULD_BLOCK) == FALSE)
        {
            close(errc::peer_closed, step_write, error->message);
            return;
        }
        if (n > 0)
        {
            send_offset += static_cast<std::size_t>(n);
            traffic.bytes_sent += static_cast<uint64_t>(n);
        }
        if (send_offset == send_buffer.size())
        {
            send_buffer.clear();
            send_offset = 0;
        }
        wait_writable(!send_buffer.empty());
    }

    void wait_writable(bool wait)
    {
        if (wait == awaits_writable)
        {
            return;
        }
        awaits_writable = wait;
        const auto done =
            context.loop.sockets().wait_writable(socket_watch, wait);
        if (!done)
        {
            auto why = done.error();
            why.peer = peer;
            close(why);
        }
    }

    // receiving

    void read_available()
    {
        std::array<char, read_chunk_bytes> buf;
        GError* raw = nullptr;
        const gssize n =
            g_socket_receive(socket(), buf.data(), buf.size(), nullptr, &raw);
        const error_ptr error(raw);
        if (n < 0)
        {
            if (g_error_matches(error.get(), G_IO_ERROR,
                                G_IO_ERROR_WOULD_BLOCK) == FALSE)
            {
                close(errc::peer_closed, step_read, error->message);
            }
            return;
        }
        if (n == 0)
        {
            close(errc::peer_closed, step_read);
            return;
        }
        traffic.bytes_received += static_cast<uint64_t>(n);
        const auto now = context.loop.now();
        if (now - last_received > context.options.silence_timeout)
        {
            // This process was suspended for longer than the silence timeout,
            // so the peer has closed the link.
            close(errc::peer_silent, step_silence);
            return;
        }
        last_received = now;
        receive_buffer.append(buf.data(), static_cast<std::size_t>(n));
        process_frames();
        if (receive_buffer.size() >= read_chunk_bytes)
        {
            // A frame this long may take longer than the silence timeout.
            last_long_read = now;
        }
    }

    void process_frames()
    {
        std::size_t at = 0;
        if (!frames.has_remote_nonce())
        {
            if (receive_buffer.size() < nonce_bytes)
            {
                return;
            }
            frames.set_remote_nonce(receive_buffer.substr(0, nonce_bytes));
            at = nonce_bytes;
            remote_clock.set_heard(context.loop.now());
            for (const auto& payload : std::exchange(untagged_payloads, {}))
            {
                append_frame(payload);
            }
        }
        while (open && receive_buffer.size() - at >= frame_length_bytes)
        {
            const auto n = decode_number(std::string_view(receive_buffer)
                                             .substr(at, frame_length_bytes));
            if (n > context.options.max_frame_bytes ||
                n < context.auth.tag_bytes())
            {
                close(errc::message_too_large, step_read);
                return;
            }
            if (receive_buffer.size() - at - frame_length_bytes < n)
            {
                break;
            }
            // Copied, because a handler may extend or release the buffer.
            const std::string frame =
                receive_buffer.substr(at + frame_length_bytes, n);
            at += frame_length_bytes + n;
            process_frame(frame);
        }
        receive_buffer.erase(0, at);
    }

    void process_frame(std::string_view frame)
    {
        const auto decoded = frames.decode(frame);
        if (!decoded)
        {
            close(errc::message_unauthentic, step_read);
            return;
        }
        const auto payload = *decoded;
        if (payload.size() < clock_bytes)
        {
            close(errc::message_malformed, step_read,
                  "frame without a clock reading");
            return;
        }
        const auto now = context.loop.now();
        const auto delay = remote_clock.on_frame(
            static_cast<int64_t>(decode_number(payload.substr(0, clock_bytes))),
            now);
        auto m = decode_message(payload.substr(clock_bytes));
        if (!m)
        {
            close(errc::message_malformed, step_read, m.error().detail);
            return;
        }
        // A long frame takes long in itself.
        if (delay > context.options.silence_timeout &&
            (frame.size() < read_chunk_bytes || carries_orders(m->body)))
        {
            close(errc::peer_silent, step_silence,
                  "a message was under way for " + to_ms_text(delay));
            return;
        }
        remote_clock.set_heard(now - delay);
        context.clock.receive(m->stamp);
        ++traffic.messages_received;
        auto& kind = traffic.kinds[m->body.index()];
        ++kind.messages_received;
        kind.bytes_received += payload.size();
        if (const auto* beat = std::get_if<heartbeat>(&m->body))
        {
            process_heartbeat(*beat);
            return;
        }
        const auto on_message = handlers.on_message;
        if (on_message)
        {
            on_message(std::move(m->body));
        }
    }

    // heartbeats and silence

    duration silence() const
    {
        return context.loop.now() -
               std::max(remote_clock.last_heard(), last_long_read);
    }

    void process_heartbeat(const heartbeat& beat)
    {
        remote_clock.on_heartbeat(beat, context.loop.now());
        const auto on_heartbeat = handlers.on_heartbeat;
        if (on_heartbeat)
        {
            on_heartbeat(beat);
        }
    }

    void send_heartbeat()
    {
        auto beat = remote_clock.next_heartbeat(context.loop.now());
        beat.version = context.current_version();
        send(beat);
    }

    void check_heartbeat()
    {
        const auto keep = shared_from_this();
        if (!open)
        {
            return;
        }
        const auto now = context.loop.now();
        if (now - last_received > context.options.silence_timeout)
        {
            close(errc::peer_silent, step_silence);
            return;
        }
        if (silence() > context.options.silence_timeout)
        {
            // What waits in the socket is read before the deferred call.
            context.loop.defer(
                [weak = weak_from_this()]
                {
                    if (const auto self = weak.lock())
                    {
                        self->check_silence();
                    }
                });
        }
        const auto read_until = context.loop.iteration_began();
        if (is_heartbeat_due(context.options, read_until, last_heartbeat,
                             last_message_sent))
        {
            last_heartbeat = read_until;
            send_heartbeat();
        }
    }

    void check_silence()
    {
        const auto keep = shared_from_this();
        if (!open)
        {
            return;
        }
        const auto silent = silence();
        if (silent > context.options.silence_timeout)
        {
            close(errc::peer_silent, step_silence,
                  "the newest message was sent " + to_ms_text(silent) + " ago");
        }
    }
};

tcp_link::tcp_link(const link_context& context,
                   object_ptr<GSocketConnection> connection,
                   link_handlers handlers)
    : state_(std::make_shared<state>(context, std::move(connection),
                                     std::move(handlers)))
{
    state_->begin();
}

tcp_link::~tcp_link()
{
    state_->end();
}

void tcp_link::send(const message& m)
{
    state_->send(m);
}

void tcp_link::on_heartbeat_timer()
{
    // The owner may destroy the link during the call.
    const auto keep = state_;
    keep->check_heartbeat();
}

const std::string& tcp_link::peer() const noexcept
{
    return state_->peer;
}

const link_traffic& tcp_link::traffic() const noexcept
{
    return state_->traffic;
}

duration tcp_link::delay() const noexcept
{
    return state_->remote_clock.delay();
}

time_point tcp_link::last_heard() const noexcept
{
    return state_->remote_clock.last_heard();
}

duration tcp_link::round_trip() const noexcept
{
    return state_->remote_clock.round_trip();
}

std::optional<int64_t> tcp_link::peer_clock_us(time_point now) const
{
    return state_->remote_clock.reading_us(now);
}

} // namespace agatebank
