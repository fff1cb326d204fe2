#include "server_connection.hpp"

#include "peer_state.hpp"
#include "response_writer.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

#include <sys/socket.h>

namespace agatebank
{

namespace
{

constexpr std::size_t read_chunk_bytes = 16U << 10U;
/// Time for the client to read a response behind which the connection ends
/// although more of its bytes are under way. Closing earlier resets it.
constexpr duration drain_time = std::chrono::seconds(1);
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr socket_interest wait_request{true, false, true};
constexpr socket_interest wait_end{false, false, true};
constexpr socket_interest wait_writable{false, true, false};

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

server_connection::server_connection(connection_context context,
                                     unique_fd socket, std::string peer,
                                     connection_hooks hooks)
    : context_(context)
    , socket_(std::move(socket))
    , peer_(std::move(peer))
    , hooks_(std::move(hooks))
    , reader_(context.limits)
    , accepted_(context.loop.now())
    , deadline_(accepted_ + context.read_timeout)
{
}

server_connection::~server_connection()
{
    close();
}

void server_connection::on_pause(time_point began)
{
    const auto keep = shared_from_this();
    switch (phase_)
    {
    case phase::reading:
        paused_ = paused_.value_or(began);
        while (phase_ == phase::reading && receive())
        {
        }
        if (phase_ == phase::reading)
        {
            fail();
        }
        return;
    case phase::handling:
    case phase::writing:
        keep_alive_ = false;
        return;
    case phase::draining:
    case phase::closed:
        return;
    }
}

// Each callback keeps the connection alive, as a hook may destroy it.
result<void> server_connection::open()
{
    const auto id = context_.loop.sockets().add(
        socket_.get(), {[this]
                        {
                            const auto keep = shared_from_this();
                            on_readable();
                        },
                        [this]
                        {
                            const auto keep = shared_from_this();
                            on_writable();
                        },
                        [this]
                        {
                            const auto keep = shared_from_this();
                            on_end();
                        }});
    if (!id)
    {
        return tl::unexpected(id.error());
    }
    watch_ = *id;
    schedule_timer(context_.read_timeout);
    return {};
}

void server_connection::close()
{
    if (std::exchange(phase_, phase::closed) == phase::closed)
    {
        return;
    }
    context_.loop.sockets().remove(std::exchange(watch_, {}));
    context_.timers.cancel(std::exchange(timer_, {}));
    socket_.reset();
}

void server_connection::fail()
{
    if (phase_ == phase::closed)
    {
        return;
    }
    const bool abandoned = phase_ == phase::handling && !peer_left_;
    close();
    if (abandoned)
    {
        hooks_.on_abandoned();
    }
    hooks_.on_closed();
}

void server_connection::on_readable()
{
    switch (phase_)
    {
    case phase::reading:
        receive();
        return;
    case phase::draining:
        discard_input();
        return;
    case phase::handling:
    case phase::writing:
        // Read after the response.
        set_interest(phase_ == phase::writing ? wait_writable : wait_end);
        return;
    case phase::closed:
        return;
    }
}

void server_connection::on_writable()
{
    if (phase_ == phase::writing)
    {
        flush();
    }
}

void server_connection::on_end()
{
    switch (phase_)
    {
    case phase::reading:
        receive();
        return;
    case phase::draining:
        discard_input();
        return;
    case phase::handling:
        // The response is still sent, as the client may have closed its sending
        // direction only. The watch would report the end again and again.
        peer_left_ = true;
        context_.loop.sockets().remove(std::exchange(watch_, {}));
        hooks_.on_abandoned();
        return;
    case phase::writing:
        flush();
        if (phase_ == phase::writing)
        {
            set_interest(wait_writable);
        }
        return;
    case phase::closed:
        return;
    }
}

bool server_connection::receive()
{
    std::array<char, read_chunk_bytes> buf;
    const auto n = ::recv(socket_.get(), buf.data(), buf.size(), 0);
    if (n < 0 && would_block())
    {
        return false;
    }
    if (n <= 0)
    {
        fail();
        return false;
    }
    reader_.append({buf.data(), static_cast<std::size_t>(n)});
    read_next();
    return static_cast<std::size_t>(n) == buf.size();
}

void server_connection::discard_input()
{
    std::array<char, read_chunk_bytes> buf;
    const auto n = ::recv(socket_.get(), buf.data(), buf.size(), 0);
    if (n == 0 || (n < 0 && !would_block()))
    {
        fail();
    }
}

void server_connection::read_next()
{
    auto next = reader_.next();
    if (!next)
    {
        if (reader_.take_continue_request())
        {
            // Too short to fill the send buffer of an idle connection.
            ::send(socket_.get(), continue_response.data(),
                   continue_response.size(), MSG_NOSIGNAL);
        }
        return;
    }
    if (auto* whole = std::get_if<whole_request>(&*next))
    {
        handle(std::move(*whole));
        return;
    }
    keep_alive_ = false;
    send_response(std::get<http_response>(*next));
}

void server_connection::handle(whole_request whole)
{
    phase_ = phase::handling;
    keep_alive_ = whole.keep_alive && !paused_;
    auto& rq = whole.request;
    without_body_ = rq.method == "HEAD";
    rq.peer = peer_;
    const auto now = context_.loop.now();
    if (std::exchange(is_first_request_, false))
    {
        rq.since_accepted = now - accepted_;
    }
    rq.possible_delay =
        std::max(rq.since_accepted, now - paused_.value_or(now));
    rq.client_left = context_.watches_peer &&
                     look_at_peer(socket_.get()) == peer_state::closed;
    hooks_.on_request(std::move(rq));
}

void server_connection::answer(const http_response& response)
{
    if (phase_ == phase::handling)
    {
        const auto keep = shared_from_this();
        send_response(response);
    }
}

void server_connection::send_response(const http_response& response)
{
    keep_alive_ = keep_alive_ && !peer_left_ && !closes_connection(response);
    unsent_ = to_bytes(response, {keep_alive_, without_body_});
    phase_ = phase::writing;
    deadline_ = context_.loop.now() + context_.read_timeout;
    flush();
}

void server_connection::flush()
{
    const auto n =
        ::send(socket_.get(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
    if (n < 0 && !would_block())
    {
        fail();
        return;
    }
    unsent_.erase(0, n < 0 ? 0 : static_cast<std::size_t>(n));
    if (unsent_.empty())
    {
        end_response();
    }
    else if (peer_left_)
    {
        // Not watched any more.
        fail();
    }
    else
    {
        set_interest(wait_writable);
    }
}

void server_connection::end_response()
{
    if (!keep_alive_)
    {
        begin_draining();
        return;
    }
    phase_ = phase::reading;
    without_body_ = false;
    deadline_ = context_.loop.now() + context_.read_timeout;
    set_interest(wait_request);
    if (phase_ == phase::reading && reader_.has_unread_bytes())
    {
        context_.loop.defer(
            [weak = weak_from_this()]
            {
                const auto self = weak.lock();
                if (self && self->phase_ == phase::reading)
                {
                    self->read_next();
                }
            });
    }
}

void server_connection::begin_draining()
{
    ::shutdown(socket_.get(), SHUT_WR);
    phase_ = phase::draining;
    deadline_ = context_.loop.now() + drain_time;
    if (peer_left_)
    {
        fail();
        return;
    }
    set_interest(wait_request);
    schedule_timer(drain_time);
}

void server_connection::set_interest(socket_interest interest)
{
    const auto done = context_.loop.sockets().set_interest(watch_, interest);
    if (!done)
    {
        g_warning("connection of %s closed: %s", peer_.c_str(),
                  done.error().to_string().c_str());
        fail();
    }
}

void server_connection::schedule_timer(duration delay)
{
    context_.timers.cancel(timer_);
    timer_ = context_.timers.schedule(delay,
                                      [this]
                                      {
                                          const auto keep = shared_from_this();
                                          on_timer();
                                      });
}

// Scheduled anew only when it expires, since most requests end long before.
void server_connection::on_timer()
{
    const auto left = deadline_ - context_.loop.now();
    if (phase_ == phase::handling)
    {
        schedule_timer(context_.read_timeout);
    }
    else if (left > duration(0))
    {
        schedule_timer(left);
    }
    else
    {
        fail();
    }
}

} // namespace agatebank
