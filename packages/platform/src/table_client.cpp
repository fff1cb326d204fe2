#include <agatebank/platform/table_client.hpp>

#include <glib.h>

#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_get = "table.get";
constexpr const char* step_put = "table.put";

constexpr unsigned status_ok = 200;
constexpr unsigned status_created = 201;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_precondition_failed = 412;
constexpr unsigned status_server_error = 500;
constexpr unsigned status_unavailable = 503;

std::string find_etag(const http_response& r)
{
    for (const auto& h : r.headers)
    {
        if (g_ascii_strcasecmp(h.name.c_str(), "ETag") == 0)
        {
            return h.value;
        }
    }
    return {};
}

std::string describe(const http_response& r)
{
    return "HTTP status " + std::to_string(r.status);
}

result<std::optional<table_value>>
parse_get_response(const tl::expected<http_response, http_failure>& answer,
                   const std::string& peer)
{
    if (!answer)
    {
        return fail(errc::platform_unreachable, step_get, peer,
                    answer.error().reason.to_string());
    }
    if (answer->status == status_not_found)
    {
        return std::optional<table_value>();
    }
    if (answer->status != status_ok)
    {
        return fail(errc::platform_refused, step_get, peer, describe(*answer));
    }
    auto etag = find_etag(*answer);
    if (etag.empty())
    {
        return fail(errc::platform_refused, step_get, peer,
                    "the response has no ETag header");
    }
    return table_value{answer->body, std::move(etag)};
}

// A server error may be sent by an intermediary, after the table has carried
// out the write; only 503 (unavailable) says that the table has not.
bool is_outcome_unknown(unsigned status)
{
    return status >= status_server_error && status != status_unavailable;
}

result<write_result>
parse_put_response(const tl::expected<http_response, http_failure>& answer,
                   const std::string& peer)
{
    if (!answer)
    {
        const auto code = answer.error().may_have_been_received
                              ? errc::platform_outcome_unknown
                              : errc::platform_unreachable;
        return fail(code, step_put, peer, answer.error().reason.to_string());
    }
    const auto status = answer->status;
    if (status == status_ok || status == status_created)
    {
        return write_result{write_outcome::written, find_etag(*answer)};
    }
    if (status == status_precondition_failed)
    {
        return write_result{write_outcome::conflict, {}};
    }
    const auto code = is_outcome_unknown(status)
                          ? errc::platform_outcome_unknown
                          : errc::platform_refused;
    return fail(code, step_put, peer, describe(*answer));
}

} // namespace

table_client::table_client(http_client& http, std::string url, duration timeout)
    : http_(http), url_(std::move(url)), timeout_(timeout)
{
}

http_call_handle table_client::get(const std::string& key, get_completion done)
{
    http_call call;
    call.url = url_ + "/" + key;
    call.timeout = timeout_;
    call.may_resend = true;
    return http_.send(
        call, [peer = call.url, done = std::move(done)](const auto& answer)
        { done(parse_get_response(answer, peer)); });
}

http_call_handle
table_client::put(const std::string& key, const std::string& body,
                  const std::optional<std::string>& expected_etag,
                  put_completion done)
{
    http_call call;
    call.method = "PUT";
    call.url = url_ + "/" + key;
    call.timeout = timeout_;
    call.body = body;
    call.headers.push_back(expected_etag
                               ? http_header{"If-Match", *expected_etag}
                               : http_header{"If-None-Match", "*"});
    return http_.send(
        call, [peer = call.url, done = std::move(done)](const auto& answer)
        { done(parse_put_response(answer, peer)); });
}

} // namespace agatebank
