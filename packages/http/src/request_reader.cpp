#include "request_reader.hpp"

#include <agatebank/loop/object_ptr.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <libsoup/soup.h>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

namespace http = boost::beast::http;

using request_parser = http::request_parser<http::string_body>;

constexpr const char* step_receive = "http.receive";
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_length_required = 411;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_head_too_large = 431;
constexpr unsigned version_1_1 = 11;

http_response refuse(unsigned status, errc e, std::string detail)
{
    return problem_response(
        status, {make_error_code(e), step_receive, {}, std::move(detail)},
        execution_status::not_run);
}

http_response refuse_malformed(std::string detail)
{
    return refuse(status_bad_request, errc::request_malformed,
                  std::move(detail));
}

http_response refuse_unread(const boost::system::error_code& ec,
                            const request_limits& limits)
{
    if (ec == http::error::body_limit)
    {
        return refuse(status_too_large, errc::request_too_large,
                      "request body exceeds " +
                          std::to_string(limits.max_body_bytes) + " bytes");
    }
    if (ec == http::error::header_limit)
    {
        return refuse(status_head_too_large, errc::request_too_large,
                      "request head exceeds " +
                          std::to_string(limits.max_head_bytes) + " bytes");
    }
    return refuse_malformed(ec.message());
}

// Checks what the parser accepts and a server must not (RFC 9112, 3.2 and 6.3).
std::optional<http_response> check_head(const request_parser::value_type& head)
{
    if (head.find(http::field::transfer_encoding) != head.end())
    {
        return refuse(status_length_required, errc::request_malformed,
                      "request body with a transfer encoding; Content-Length "
                      "is required");
    }
    if (head.version() >= version_1_1 && head.count(http::field::host) != 1)
    {
        return refuse_malformed("request without a Host header, or with two");
    }
    return std::nullopt;
}

std::map<std::string, std::string> parse_query(const std::string& query)
{
    std::map<std::string, std::string> out;
    if (query.empty())
    {
        return out;
    }
    const std::unique_ptr<GHashTable, decltype(&g_hash_table_unref)> fields(
        soup_form_decode(query.c_str()), g_hash_table_unref);
    GHashTableIter it;
    gpointer key = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&it, fields.get());
    while (g_hash_table_iter_next(&it, &key, &value) == TRUE)
    {
        out[static_cast<const char*>(key)] = static_cast<const char*>(value);
    }
    return out;
}

// The path and query of a target in absolute form, "http://host/path".
std::string_view without_authority(std::string_view target)
{
    const auto scheme = target.find("://");
    if (target.starts_with('/') || scheme == std::string_view::npos)
    {
        return target;
    }
    const auto path = target.find('/', scheme + 3);
    return path == std::string_view::npos ? "/" : target.substr(path);
}

// Returns false if the target has no path, or one with invalid escapes.
bool read_target(std::string_view target, http_request& out)
{
    const auto relative = without_authority(target);
    const auto query = std::min(relative.find('?'), relative.size());
    const std::string path(relative.substr(0, query));
    const std::unique_ptr<char, decltype(&g_free)> decoded(
        g_uri_unescape_string(path.c_str(), nullptr), g_free);
    if (!relative.starts_with('/') || decoded == nullptr)
    {
        return false;
    }
    out.path = decoded.get();
    out.query = parse_query(
        std::string(relative.substr(std::min(query + 1, relative.size()))));
    return true;
}

} // namespace

struct request_reader::state
{
    request_limits limits;
    std::string buffer;
    std::optional<request_parser> parser; ///< of the request that has begun
    bool continue_requested = false;

    explicit state(request_limits l) : limits(l) {}

    std::optional<read_outcome> next();
    std::optional<http_response> on_head();
    read_outcome take_request();
};

std::optional<read_outcome> request_reader::state::next()
{
    if (!parser)
    {
        // Empty lines before a request are ignored (RFC 9112, 2.2).
        buffer.erase(0,
                     std::min(buffer.find_first_not_of("\r\n"), buffer.size()));
        if (buffer.empty())
        {
            return std::nullopt;
        }
        parser.emplace();
        parser->header_limit(static_cast<std::uint32_t>(limits.max_head_bytes));
        parser->body_limit(limits.max_body_bytes);
    }
    while (!parser->is_done())
    {
        if (buffer.empty())
        {
            return std::nullopt;
        }
        const bool had_head = parser->is_header_done();
        boost::system::error_code ec;
        buffer.erase(0, parser->put(boost::asio::buffer(buffer), ec));
        if (ec == http::error::need_more)
        {
            return std::nullopt;
        }
        if (ec)
        {
            return refuse_unread(ec, limits);
        }
        if (!had_head && parser->is_header_done())
        {
            if (auto refusal = on_head())
            {
                return std::move(*refusal);
            }
        }
    }
    return take_request();
}

std::optional<http_response> request_reader::state::on_head()
{
    const auto& head = parser->get();
    if (auto refusal = check_head(head))
    {
        return refusal;
    }
    continue_requested =
        !parser->is_done() &&
        boost::beast::iequals(head[http::field::expect], "100-continue");
    parser->eager(true);
    return std::nullopt;
}

read_outcome request_reader::state::take_request()
{
    auto message = parser->release();
    parser.reset();
    continue_requested = false;
    whole_request out{{},
                      message.version() >= version_1_1 && message.keep_alive()};
    auto& rq = out.request;
    rq.method = std::string(message.method_string());
    const auto target = message.target();
    if (!read_target({target.data(), target.size()}, rq))
    {
        return refuse_malformed("request target is not a path");
    }
    for (const auto& it : message)
    {
        std::string name(it.name_string());
        std::transform(name.begin(), name.end(), name.begin(), g_ascii_tolower);
        rq.headers[std::move(name)] = std::string(it.value());
    }
    rq.body = std::move(message.body());
    return out;
}

request_reader::request_reader(request_limits limits)
    : state_(std::make_unique<state>(limits))
{
}

request_reader::~request_reader() = default;
request_reader::request_reader(request_reader&&) noexcept = default;
request_reader& request_reader::operator=(request_reader&&) noexcept = default;

void request_reader::append(std::string_view bytes)
{
    state_->buffer += bytes;
}

std::optional<read_outcome> request_reader::next()
{
    return state_->next();
}

bool request_reader::take_continue_request()
{
    return std::exchange(state_->continue_requested, false);
}

bool request_reader::has_unread_bytes() const noexcept
{
    return !state_->buffer.empty() || state_->parser.has_value();
}

} // namespace agatebank
