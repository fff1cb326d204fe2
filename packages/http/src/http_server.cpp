#include "http_exchange.hpp"
#include <agatebank/http/http_server.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* body_key = "agatebank-body";
/// Set on a socket whose first message has begun.
constexpr const char* used_key = "agatebank-used";
/// When the connection was accepted; set on its first message.
constexpr const char* accepted_key = "agatebank-accepted";
constexpr const char* step_listen = "http.listen";
constexpr const char* step_receive = "http.receive";
constexpr unsigned status_unavailable = 503;

struct body_buffer
{
    std::string bytes;
    std::size_t limit;
    bool overflow = false;
};

void free_body(gpointer data)
{
    delete static_cast<body_buffer*>(data);
}

void free_time(gpointer data)
{
    delete static_cast<time_point*>(data);
}

// Notes when the connection of a message was accepted, if the message is its
// first one.
void note_accepted(SoupServerMessage* message, time_point now)
{
    GSocket* socket = soup_server_message_get_socket(message);
    if (socket == nullptr ||
        g_object_get_data(G_OBJECT(socket), used_key) != nullptr)
    {
        return;
    }
    g_object_set_data(G_OBJECT(socket), used_key, socket);
    g_object_set_data_full(G_OBJECT(message), accepted_key, new time_point(now),
                           free_time);
}

duration since_accepted(SoupServerMessage* message, time_point now)
{
    const auto* accepted = static_cast<time_point*>(
        g_object_get_data(G_OBJECT(message), accepted_key));
    return accepted == nullptr ? duration(0) : now - *accepted;
}

void on_chunk(SoupServerMessage* message, GBytes* chunk, gpointer)
{
    auto* buf = static_cast<body_buffer*>(
        g_object_get_data(G_OBJECT(message), body_key));
    gsize n = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(chunk, &n));
    if (buf->overflow || buf->bytes.size() + n > buf->limit)
    {
        buf->overflow = true;
        buf->bytes.clear();
        return;
    }
    buf->bytes.append(data, n);
}

std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> out;
    std::size_t begin = 1;
    while (begin <= path.size())
    {
        auto end = path.find('/', begin);
        if (end == std::string::npos)
        {
            end = path.size();
        }
        out.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return out;
}

bool is_capture(const std::string& segment)
{
    return segment.size() > 2 && segment.front() == '{';
}

bool matches(const std::vector<std::string>& pattern,
             const std::vector<std::string>& path,
             std::map<std::string, std::string>& captures)
{
    if (pattern.size() != path.size())
    {
        return false;
    }
    captures.clear();
    for (std::size_t i = 0; i < pattern.size(); ++i)
    {
        if (is_capture(pattern[i]))
        {
            captures[pattern[i].substr(1, pattern[i].size() - 2)] = path[i];
        }
        else if (pattern[i] != path[i])
        {
            return false;
        }
    }
    return true;
}

void add_header(const char* name, const char* value, gpointer data)
{
    auto& headers = *static_cast<std::map<std::string, std::string>*>(data);
    std::string key = name;
    std::transform(key.begin(), key.end(), key.begin(), g_ascii_tolower);
    headers[key] = value;
}

std::map<std::string, std::string> to_map(GHashTable* query)
{
    std::map<std::string, std::string> out;
    if (query == nullptr)
    {
        return out;
    }
    GHashTableIter it;
    gpointer key = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&it, query);
    while (g_hash_table_iter_next(&it, &key, &value) == TRUE)
    {
        out[static_cast<const char*>(key)] = static_cast<const char*>(value);
    }
    return out;
}

// libsoup accepts a chunked body that is truncated between two chunks, or has
// an invalid chunk size, as complete; a body therefore needs Content-Length.
bool is_chunked(SoupServerMessage* message)
{
    return soup_message_headers_get_encoding(
               soup_server_message_get_request_headers(message)) ==
           SOUP_ENCODING_CHUNKED;
}

http_request read_request(SoupServerMessage* message, const char* path,
                          GHashTable* query)
{
    http_request rq;
    rq.method = soup_server_message_get_method(message);
    rq.path = path;
    rq.query = to_map(query);
    soup_message_headers_foreach(
        soup_server_message_get_request_headers(message), add_header,
        &rq.headers);
    const char* host = soup_server_message_get_remote_host(message);
    rq.peer = host == nullptr ? "" : host;
    auto* buf = static_cast<body_buffer*>(
        g_object_get_data(G_OBJECT(message), body_key));
    if (buf != nullptr)
    {
        rq.body = std::move(buf->bytes);
    }
    return rq;
}

std::optional<http_response> refuse_body(SoupServerMessage* message)
{
    const auto refuse = [](unsigned status, errc e, std::string detail)
    {
        return problem_response(
            status, {make_error_code(e), step_receive, {}, std::move(detail)},
            execution_status::not_run);
    };
    if (is_chunked(message))
    {
        return refuse(411, errc::request_malformed,
                      "chunked request body; Content-Length is required");
    }
    const auto* buf = static_cast<body_buffer*>(
        g_object_get_data(G_OBJECT(message), body_key));
    if (buf != nullptr && buf->overflow)
    {
        return refuse(413, errc::request_too_large,
                      "request body exceeds " + std::to_string(buf->limit) +
                          " bytes");
    }
    return std::nullopt;
}

result<object_ptr<GTlsCertificate>>
load_certificate(const http_server_options& options)
{
    GError* raw = nullptr;
    object_ptr<GTlsCertificate> cert(g_tls_certificate_new_from_files(
        options.tls_certificate.c_str(), options.tls_key.c_str(), &raw));
    const error_ptr error(raw);
    if (!cert)
    {
        return fail(errc::settings_invalid, step_listen,
                    options.tls_certificate, error->message);
    }
    return cert;
}

} // namespace

http_server::http_server(event_loop& loop, http_server_options options)
    : loop_(loop)
    , options_(std::move(options))
    , server_(soup_server_new("server-header", "agatebank", nullptr))
    , timers_(loop)
    , in_flight_(std::make_shared<std::size_t>(0))
{
    soup_server_add_early_handler(server_.get(), nullptr, on_headers_read, this,
                                  nullptr);
    soup_server_add_handler(server_.get(), nullptr, on_request, this, nullptr);
    g_signal_connect(server_.get(), "request-started", G_CALLBACK(on_started),
                     this);
    for (const char* name :
         {"request-read", "request-aborted", "request-finished"})
    {
        g_signal_connect(server_.get(), name, G_CALLBACK(on_read_ended), this);
    }
}

http_server::~http_server()
{
    g_signal_handlers_disconnect_by_data(server_.get(), this);
    while (!read_timers_.empty())
    {
        auto* message = read_timers_.begin()->first;
        g_object_weak_unref(G_OBJECT(message), on_message_destroyed, this);
        cancel_read_timer(message);
    }
    soup_server_disconnect(server_.get());
}

void http_server::route(const std::string& method, const std::string& pattern,
                        http_handler handler)
{
    routes_.push_back({method, split_path(pattern), std::move(handler)});
}

void http_server::set_fallback_handler(http_handler handler)
{
    fallback_ = std::move(handler);
}

void http_server::on_abandoned(std::function<void(uint64_t)> handler)
{
    abandoned_ = std::move(handler);
}

result<uint16_t> http_server::listen()
{
    auto flags = static_cast<SoupServerListenOptions>(0);
    if (!options_.tls_certificate.empty())
    {
        auto cert = load_certificate(options_);
        if (!cert)
        {
            return tl::unexpected(cert.error());
        }
        soup_server_set_tls_certificate(server_.get(), cert->get());
        flags = SOUP_SERVER_LISTEN_HTTPS;
    }
    const std::string peer =
        options_.address + ":" + std::to_string(options_.port);
    object_ptr<GSocketAddress> address(g_inet_socket_address_new_from_string(
        options_.address.c_str(), options_.port));
    if (!address)
    {
        return fail(errc::settings_invalid, step_listen, peer,
                    "not an IP address");
    }
    GError* raw = nullptr;
    if (soup_server_listen(server_.get(), address.get(), flags, &raw) == FALSE)
    {
        const error_ptr error(raw);
        return fail(errc::address_in_use, step_listen, peer, error->message);
    }
    GSList* uris = soup_server_get_uris(server_.get());
    const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
    g_slist_free_full(uris,
                      [](gpointer u) { g_uri_unref(static_cast<GUri*>(u)); });
    return static_cast<uint16_t>(port);
}

void http_server::stop_accepting()
{
    GSList* sockets = soup_server_get_listeners(server_.get());
    for (GSList* it = sockets; it != nullptr; it = it->next)
    {
        g_socket_close(static_cast<GSocket*>(it->data), nullptr);
    }
    g_slist_free(sockets);
}

std::size_t http_server::in_flight() const noexcept
{
    return *in_flight_;
}

const http_server_options& http_server::options() const noexcept
{
    return options_;
}

void http_server::on_headers_read(SoupServer*, SoupServerMessage* message,
                                  const char*, GHashTable*, gpointer data)
{
    auto* self = static_cast<http_server*>(data);
    auto* body = soup_server_message_get_request_body(message);
    soup_message_body_set_accumulate(body, FALSE);
    g_object_set_data_full(G_OBJECT(message), body_key,
                           new body_buffer{{}, self->options_.max_body_bytes},
                           free_body);
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), nullptr);
}

void http_server::on_request(SoupServer*, SoupServerMessage* message,
                             const char* path, GHashTable* query, gpointer data)
{
    auto* self = static_cast<http_server*>(data);
    if (const auto refusal = refuse_body(message))
    {
        write_response(message, *refusal);
        return;
    }
    soup_server_message_pause(message);
    auto request = read_request(message, path, query);
    request.request_id = ++self->last_request_id_;
    auto ex = std::make_shared<http_exchange>(message, self->loop_.sockets(),
                                              request.request_id);
    const auto left = ex->watch_peer(self->abandoned_);
    if (!left)
    {
        // Its client's leaving would never be noticed.
        g_warning("request %s %s refused: %s", request.method.c_str(), path,
                  left.error().to_string().c_str());
        auto refusal = problem_response(
            status_unavailable,
            {make_error_code(errc::not_ready), step_receive, request.peer,
             "the end of the connection can't be watched: " +
                 left.error().to_string()},
            execution_status::not_run);
        refusal.headers.push_back({"Retry-After", "1"});
        ex->answer(refusal);
        return;
    }
    request.client_left = *left;
    request.since_accepted = since_accepted(message, self->loop_.now());
    self->dispatch(ex, std::move(request));
}

void http_server::dispatch(const std::shared_ptr<http_exchange>& ex,
                           http_request request)
{
    const auto responder = make_responder(ex);
    const auto path = split_path(request.path);
    bool path_known = false;
    for (const auto& r : routes_)
    {
        if (!matches(r.segments, path, request.captures))
        {
            continue;
        }
        path_known = true;
        if (r.method == request.method)
        {
            r.handler(request, responder);
            return;
        }
    }
    if (fallback_)
    {
        fallback_(request, responder);
        return;
    }
    responder(problem_response(
        path_known ? 405 : 404,
        {make_error_code(errc::not_found), step_receive, {}, request.path},
        execution_status::not_run));
}

http_responder
http_server::make_responder(const std::shared_ptr<http_exchange>& ex)
{
    ++*in_flight_;
    // Decrements the count when the last copy of the responder is destroyed.
    const std::shared_ptr<void> guard(nullptr,
                                      [n = in_flight_](void*) { --*n; });
    return [ex, guard](const http_response& r)
    {
        ex->answer(r);
    };
}

void http_server::on_started(SoupServer*, SoupServerMessage* message,
                             gpointer data)
{
    auto* self = static_cast<http_server*>(data);
    g_object_weak_ref(G_OBJECT(message), on_message_destroyed, self);
    note_accepted(message, self->loop_.now());
    self->read_timers_[message] = self->timers_.schedule(
        self->options_.read_timeout,
        [message]
        {
            GSocket* socket = soup_server_message_get_socket(message);
            if (socket != nullptr)
            {
                g_socket_shutdown(socket, TRUE, TRUE, nullptr);
            }
        });
}

void http_server::on_read_ended(SoupServer*, SoupServerMessage* message,
                                gpointer data)
{
    auto* self = static_cast<http_server*>(data);
    if (self->read_timers_.count(message) != 0)
    {
        g_object_weak_unref(G_OBJECT(message), on_message_destroyed, self);
        self->cancel_read_timer(message);
    }
}

// A message whose connection closes while idle is destroyed without any of the
// signals that end the read timer.
void http_server::on_message_destroyed(gpointer data, GObject* message)
{
    auto* self = static_cast<http_server*>(data);
    self->cancel_read_timer(reinterpret_cast<SoupServerMessage*>(message));
}

void http_server::cancel_read_timer(SoupServerMessage* message)
{
    const auto it = read_timers_.find(message);
    if (it != read_timers_.end())
    {
        timers_.cancel(it->second);
        read_timers_.erase(it);
    }
}

} // namespace agatebank
