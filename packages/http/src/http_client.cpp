#include <agatebank/http/http_client.hpp>

#include <cstring>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_call = "http.call";

// State of one call, shared by its handle and the pending callback.
struct pending_call
{
    object_ptr<SoupMessage> message;
    object_ptr<GCancellable> cancellable;
    object_ptr<GSocket> socket; ///< set if no other call uses the connection
    bool may_resend = false;
    http_completion done;
    watch timer;
    std::string peer;
    bool connected = false;
    bool connecting = false;
    bool timed_out = false;
    /// written to some connection, also one that broke and was replaced
    bool written = false;
    std::optional<http_connection_id> connection; ///< the only one to be used
    bool connection_ended = false;

    pending_call() = default;
    pending_call(const pending_call&) = delete;
    pending_call& operator=(const pending_call&) = delete;

    ~pending_call()
    {
        if (message)
        {
            g_signal_handlers_disconnect_by_data(message.get(), this);
        }
    }
};

using pending_ptr = std::shared_ptr<pending_call>;

void on_network_event(SoupMessage*, GSocketClientEvent event, GIOStream* stream,
                      gpointer data)
{
    auto* p = static_cast<pending_call*>(data);
    p->connecting = true;
    if (event == G_SOCKET_CLIENT_CONNECTED)
    {
        p->connected = true;
        if (!p->may_resend && G_IS_SOCKET_CONNECTION(stream))
        {
            p->socket = share_object(
                g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream)));
        }
    }
}

http_connection_id connection_of(SoupMessage* message)
{
    return http_connection_id(soup_message_get_connection_id(message));
}

// Called when the connection is chosen and nothing has been written to it. The
// library replaces a connection that has ended; a cancelled call writes nothing
// to the new one.
void on_starting(SoupMessage* message, gpointer data)
{
    auto* p = static_cast<pending_call*>(data);
    if (connection_of(message) != *p->connection)
    {
        p->connection_ended = true;
        g_cancellable_cancel(p->cancellable.get());
    }
}

void on_headers_written(SoupMessage*, gpointer data)
{
    static_cast<pending_call*>(data)->written = true;
}

// Only a refusal shows that nothing listens there. Other errors, such as a lack
// of descriptors or routes, say nothing about the peer.
errc to_connect_error(const GError* error)
{
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ==
                   TRUE
               ? errc::peer_unreachable
               : errc::target_unreachable;
}

http_failure make_failure(const pending_call& p, const GError* error)
{
    // No connect events are emitted for a call on a reused connection.
    const bool never_connected = p.connecting && !p.connected;
    errc code = errc::peer_closed;
    if (p.timed_out)
    {
        code = errc::target_timeout;
    }
    else if (never_connected)
    {
        code = to_connect_error(error);
    }
    return {{make_error_code(code), step_call, p.peer,
             error == nullptr ? "" : error->message},
            p.written || (!never_connected && !p.connection_ended),
            p.connection_ended && !p.written};
}

bool is_open(GSocket* socket)
{
    constexpr auto ended =
        static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR);
    return socket != nullptr && g_socket_is_closed(socket) == FALSE &&
           g_socket_condition_check(socket, ended) == 0;
}

// libsoup accepts a chunked body that is truncated between two chunks as
// complete. Only the end of the connection can truncate it there, so the body
// is certainly complete if the connection is still open.
bool has_complete_body(const pending_call& p)
{
    auto* headers = soup_message_get_response_headers(p.message.get());
    switch (soup_message_headers_get_encoding(headers))
    {
    case SOUP_ENCODING_CHUNKED:
        return is_open(p.socket.get());
    case SOUP_ENCODING_EOF:
        return false;
    default:
        return true;
    }
}

void collect_header(const char* name, const char* value, gpointer data)
{
    static_cast<std::vector<http_header>*>(data)->push_back({name, value});
}

http_response read_response(SoupMessage* message, GBytes* body)
{
    http_response r;
    r.status = soup_message_get_status(message);
    auto* headers = soup_message_get_response_headers(message);
    const char* type = soup_message_headers_get_content_type(headers, nullptr);
    r.content_type = type == nullptr ? "" : type;
    soup_message_headers_foreach(headers, collect_header, &r.headers);
    gsize n = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(body, &n));
    if (data != nullptr)
    {
        r.body.assign(data, n);
    }
    r.connection = connection_of(message);
    return r;
}

// Completes a call. Clears the completion before calling it, so that it is
// called at most once.
void complete(const pending_ptr& p,
              const tl::expected<http_response, http_failure>& outcome)
{
    p->timer.reset();
    const auto done = std::exchange(p->done, nullptr);
    if (done)
    {
        done(outcome);
    }
}

void on_body(GObject* source, GAsyncResult* res, gpointer data)
{
    const std::unique_ptr<pending_ptr> holder(static_cast<pending_ptr*>(data));
    const auto& p = *holder;
    GError* raw = nullptr;
    const bytes_ptr body(
        soup_session_send_and_read_finish(SOUP_SESSION(source), res, &raw));
    const error_ptr error(raw);
    if (!body)
    {
        complete(p, tl::unexpected(make_failure(*p, error.get())));
        return;
    }
    if (!has_complete_body(*p))
    {
        complete(p,
                 tl::unexpected(http_failure{
                     {make_error_code(errc::target_answer_partial), step_call,
                      p->peer,
                      "response body may be truncated: "
                      "no Content-Length, and the connection has closed or is "
                      "shared"},
                     true}));
        return;
    }
    complete(p, read_response(p->message.get(), body.get()));
}

void cancel(pending_call& p)
{
    if (!p.done)
    {
        return;
    }
    p.done = nullptr;
    p.timer.reset();
    g_cancellable_cancel(p.cancellable.get());
}

} // namespace

http_client::http_client(event_loop& loop, const std::string& ca_file,
                         int max_connections)
    : loop_(loop)
    , session_(soup_session_new_with_options("max-conns", max_connections,
                                             "max-conns-per-host",
                                             max_connections, nullptr))
{
    soup_session_set_proxy_resolver(session_.get(), nullptr);
    if (!ca_file.empty())
    {
        const object_ptr<GTlsDatabase> database(
            g_tls_file_database_new(ca_file.c_str(), nullptr));
        soup_session_set_tls_database(session_.get(), database.get());
    }
}

http_call_handle http_client::send(const http_call& call, http_completion done)
{
    auto p = std::make_shared<pending_call>();
    p->done = std::move(done);
    p->peer = call.url;
    p->may_resend = call.may_resend;
    p->connection = call.connection;
    p->message.reset(soup_message_new(call.method.c_str(), call.url.c_str()));
    if (!p->message)
    {
        loop_.defer(
            [p]
            {
                complete(p, tl::unexpected(http_failure{
                                {make_error_code(errc::request_malformed),
                                 step_call, p->peer, "not a valid URL"},
                                false}));
            });
        return p;
    }
    p->cancellable.reset(g_cancellable_new());
    auto* headers = soup_message_get_request_headers(p->message.get());
    for (const auto& h : call.headers)
    {
        soup_message_headers_append(headers, h.name.c_str(), h.value.c_str());
    }
    if (!call.body.empty())
    {
        const bytes_ptr body(g_bytes_new(call.body.data(), call.body.size()));
        soup_message_set_request_body_from_bytes(
            p->message.get(), call.content_type.c_str(), body.get());
    }
    auto flags = SOUP_MESSAGE_NO_REDIRECT;
    flags = static_cast<SoupMessageFlags>(
        flags | (call.may_resend ? SOUP_MESSAGE_IDEMPOTENT
                                 : SOUP_MESSAGE_NEW_CONNECTION));
    soup_message_set_flags(p->message.get(), flags);
    g_signal_connect(p->message.get(), "network-event",
                     G_CALLBACK(on_network_event), p.get());
    g_signal_connect(p->message.get(), "wrote-headers",
                     G_CALLBACK(on_headers_written), p.get());
    if (call.connection)
    {
        g_signal_connect(p->message.get(), "starting", G_CALLBACK(on_starting),
                         p.get());
    }
    p->timer = loop_.after(call.timeout,
                           [raw = p.get()]
                           {
                               raw->timed_out = true;
                               g_cancellable_cancel(raw->cancellable.get());
                           });
    soup_session_send_and_read_async(session_.get(), p->message.get(),
                                     G_PRIORITY_DEFAULT, p->cancellable.get(),
                                     on_body, new pending_ptr(p));
    // Destroying the handle cancels the call; the pending callback keeps the
    // state alive.
    return {p.get(), [p](void*)
            {
                cancel(*p);
            }};
}

} // namespace agatebank
