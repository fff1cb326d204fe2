#include "table_server.hpp"

#include <agatebank/core/json_reader.hpp>

#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_listen = "platform.listen";
constexpr const char* step_faults = "platform.faults";
constexpr const char* faults_path = "/faults";
constexpr int64_t max_delay_ms = 600'000;

std::string request_body(SoupServerMessage* message)
{
    auto* body = soup_server_message_get_request_body(message);
    return {body->data, static_cast<std::size_t>(body->length)};
}

std::string request_header(SoupServerMessage* message, const char* name)
{
    const char* value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
    return value == nullptr ? "" : value;
}

void respond(SoupServerMessage* message, unsigned status,
             const std::string& body = {}, const std::string& etag = {})
{
    if (!etag.empty())
    {
        soup_message_headers_replace(
            soup_server_message_get_response_headers(message), "ETag",
            etag.c_str());
    }
    soup_server_message_set_status(message, status, nullptr);
    if (!body.empty())
    {
        soup_server_message_set_response(message, "application/json",
                                         SOUP_MEMORY_COPY, body.data(),
                                         body.size());
    }
}

// Closes the connection instead of replying.
void drop_connection(SoupServerMessage* message)
{
    GSocket* socket = soup_server_message_get_socket(message);
    if (socket != nullptr)
    {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
}

nlohmann::json to_json(const table_faults& f, const table_counters& c)
{
    return {{"outage", f.outage},
            {"delay_ms", f.delay.count() / 1000},
            {"lose_replies", f.lose_replies},
            {"max_reads_per_s", f.max_reads_per_s},
            {"max_writes_per_s", f.max_writes_per_s},
            {"reads", c.reads},
            {"writes", c.writes},
            {"refused", c.refused},
            {"lost_replies", c.lost_replies}};
}

} // namespace

table_server::table_server(event_loop& loop)
    : loop_(loop)
    , server_(soup_server_new("server-header", "standin-platform", nullptr))
    , reads_(faults_.max_reads_per_s)
    , writes_(faults_.max_writes_per_s)
{
    soup_server_add_handler(server_.get(), nullptr, on_request, this, nullptr);
}

table_server::~table_server()
{
    soup_server_disconnect(server_.get());
}

result<uint16_t> table_server::listen(const std::string& address, uint16_t port)
{
    const std::string peer = address + ":" + std::to_string(port);
    const object_ptr<GSocketAddress> socket_address(
        g_inet_socket_address_new_from_string(address.c_str(), port));
    if (!socket_address)
    {
        return fail(errc::settings_invalid, step_listen, peer,
                    "not an IP address");
    }
    GError* raw = nullptr;
    if (soup_server_listen(server_.get(), socket_address.get(),
                           static_cast<SoupServerListenOptions>(0),
                           &raw) == FALSE)
    {
        const error_ptr error(raw);
        return fail(errc::address_in_use, step_listen, peer, error->message);
    }
    GSList* uris = soup_server_get_uris(server_.get());
    const int bound = g_uri_get_port(static_cast<GUri*>(uris->data));
    g_slist_free_full(uris,
                      [](gpointer u) { g_uri_unref(static_cast<GUri*>(u)); });
    return static_cast<uint16_t>(bound);
}

void table_server::on_request(SoupServer*, SoupServerMessage* message,
                              const char* path, GHashTable*, gpointer data)
{
    auto* self = static_cast<table_server*>(data);
    const std::string key = path;
    if (key == faults_path)
    {
        self->serve_faults(message);
        return;
    }
    if (self->faults_.delay.count() == 0)
    {
        self->serve(message, key);
        return;
    }
    soup_server_message_pause(message);
    const std::shared_ptr<SoupServerMessage> message_ref(
        static_cast<SoupServerMessage*>(g_object_ref(message)), g_object_unref);
    self->delayed_[message] =
        self->loop_.after(self->faults_.delay,
                          [self, message_ref, key]
                          {
                              self->serve(message_ref.get(), key);
                              soup_server_message_unpause(message_ref.get());
                              self->delayed_.erase(message_ref.get());
                          });
}

void table_server::serve(SoupServerMessage* message, const std::string& path)
{
    const std::string method = soup_server_message_get_method(message);
    if (method == "GET")
    {
        serve_read(message, path);
        return;
    }
    if (method == "PUT")
    {
        serve_write(message, path);
        return;
    }
    respond(message, SOUP_STATUS_METHOD_NOT_ALLOWED);
}

bool table_server::refuse_if_unavailable(SoupServerMessage* message,
                                         rate_limit& limit)
{
    const bool within = limit.try_acquire(g_get_monotonic_time());
    if (within && !faults_.outage)
    {
        return false;
    }
    ++counters_.refused;
    respond(message, SOUP_STATUS_SERVICE_UNAVAILABLE);
    return true;
}

void table_server::serve_read(SoupServerMessage* message,
                              const std::string& key)
{
    if (refuse_if_unavailable(message, reads_))
    {
        return;
    }
    ++counters_.reads;
    const auto row = table_.read(key);
    if (!row)
    {
        respond(message, SOUP_STATUS_NOT_FOUND);
        return;
    }
    respond(message, SOUP_STATUS_OK, row->body, row->etag);
}

void table_server::serve_write(SoupServerMessage* message,
                               const std::string& key)
{
    if (refuse_if_unavailable(message, writes_))
    {
        return;
    }
    ++counters_.writes;
    write_condition condition;
    condition.if_none_match = request_header(message, "If-None-Match") == "*";
    const std::string match = request_header(message, "If-Match");
    if (!match.empty())
    {
        condition.if_match = match;
    }
    const bool existed = table_.read(key).has_value();
    const auto etag = table_.write(key, request_body(message), condition);
    if (faults_.lose_replies > 0)
    {
        --faults_.lose_replies;
        ++counters_.lost_replies;
        drop_connection(message);
        return;
    }
    if (!etag)
    {
        respond(message, SOUP_STATUS_PRECONDITION_FAILED);
        return;
    }
    respond(message, existed ? SOUP_STATUS_OK : SOUP_STATUS_CREATED, {}, *etag);
}

result<table_faults> table_server::parse_faults(const std::string& body) const
{
    const auto document = parse_json(body, step_faults, {});
    if (!document)
    {
        return tl::unexpected(document.error());
    }
    table_faults f = faults_;
    json_errors errors;
    json_fields fields(*document, "", errors);
    fields.optional_boolean("outage", f.outage);
    fields.optional_milliseconds("delay_ms", f.delay, {0, max_delay_ms});
    fields.optional_number("lose_replies", f.lose_replies, {0, 1'000'000});
    fields.optional_number("max_reads_per_s", f.max_reads_per_s,
                           {0, 1'000'000});
    fields.optional_number("max_writes_per_s", f.max_writes_per_s,
                           {0, 1'000'000});
    fields.finish();
    if (!errors.empty())
    {
        return fail(errc::request_malformed, step_faults, {}, errors.first());
    }
    return f;
}

void table_server::serve_faults(SoupServerMessage* message)
{
    if (std::string(soup_server_message_get_method(message)) == "POST")
    {
        const auto f = parse_faults(request_body(message));
        if (!f)
        {
            respond(message, SOUP_STATUS_BAD_REQUEST, f.error().to_string());
            return;
        }
        faults_ = *f;
        reads_ = rate_limit(faults_.max_reads_per_s);
        writes_ = rate_limit(faults_.max_writes_per_s);
    }
    respond(message, SOUP_STATUS_OK, to_json(faults_, counters_).dump());
}

} // namespace agatebank
