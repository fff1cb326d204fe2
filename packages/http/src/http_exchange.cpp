#include "http_exchange.hpp"

#include "peer_state.hpp"

#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_watch = "http.watch";

} // namespace

http_exchange::http_exchange(SoupServerMessage* message, socket_poller& sockets,
                             uint64_t request_id)
    : message_(share_object(message))
    , sockets_(sockets)
    , request_id_(request_id)
{
    finished_handler_ =
        g_signal_connect(message, "finished", G_CALLBACK(on_closed), this);
    disconnected_handler_ =
        g_signal_connect(message, "disconnected", G_CALLBACK(on_closed), this);
}

http_exchange::~http_exchange()
{
    end_peer_watch();
    g_signal_handler_disconnect(message_.get(), finished_handler_);
    g_signal_handler_disconnect(message_.get(), disconnected_handler_);
}

result<bool> http_exchange::watch_peer(std::function<void(uint64_t)> abandoned)
{
    if (!abandoned)
    {
        return false;
    }
    GSocket* socket = soup_server_message_get_socket(message_.get());
    if (socket == nullptr)
    {
        return fail(errc::peer_closed, step_watch, {},
                    "the connection has no socket");
    }
    const int fd = g_socket_get_fd(socket);
    const auto id = sockets_.add_end_watch(fd,
                                           [this]
                                           {
                                               end_peer_watch();
                                               notify_abandoned();
                                           });
    if (!id)
    {
        return tl::unexpected(id.error());
    }
    peer_watch_ = *id;
    abandoned_ = std::move(abandoned);
    return look_at_peer(fd) == peer_state::closed;
}

void http_exchange::answer(const http_response& response)
{
    if (closed_ || answered_)
    {
        return;
    }
    answered_ = true;
    end_peer_watch();
    write_response(message_.get(), response);
    soup_server_message_unpause(message_.get());
}

void http_exchange::on_closed(SoupServerMessage*, gpointer data)
{
    auto* self = static_cast<http_exchange*>(data);
    self->closed_ = true;
    self->end_peer_watch();
    self->notify_abandoned();
}

void http_exchange::notify_abandoned()
{
    const auto fn = std::exchange(abandoned_, nullptr);
    if (fn && !answered_)
    {
        fn(request_id_);
    }
}

void http_exchange::end_peer_watch()
{
    sockets_.remove(std::exchange(peer_watch_, {}));
}

void write_response(SoupServerMessage* message, const http_response& response)
{
    auto* headers = soup_server_message_get_response_headers(message);
    for (const auto& h : response.headers)
    {
        soup_message_headers_append(headers, h.name.c_str(), h.value.c_str());
    }
    soup_server_message_set_status(message, response.status, nullptr);
    if (!response.body.empty())
    {
        soup_server_message_set_response(message, response.content_type.c_str(),
                                         SOUP_MEMORY_COPY, response.body.data(),
                                         response.body.size());
    }
}

} // namespace agatebank
