#include "response_writer.hpp"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <ctime>

namespace agatebank
{

namespace
{

namespace http = boost::beast::http;

constexpr const char* server_name = "agatebank";

// RFC 9110, 5.6.7.
std::string date_text()
{
    const std::time_t now = std::time(nullptr);
    std::tm utc{};
    gmtime_r(&now, &utc);
    std::array<char, 32> buf{};
    const auto n = std::strftime(buf.data(), buf.size(),
                                 "%a, %d %b %Y %H:%M:%S GMT", &utc);
    return {buf.data(), n};
}

// RFC 9110, 8.6.
bool may_have_body(unsigned status)
{
    constexpr unsigned first_final = 200;
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return status >= first_final && status != no_content &&
           status != not_modified;
}

} // namespace

bool closes_connection(const http_response& response)
{
    return std::any_of(response.headers.begin(), response.headers.end(),
                       [](const http_header& h)
                       {
                           return boost::beast::iequals(h.name, "connection") &&
                                  boost::beast::iequals(h.value, "close");
                       });
}

std::string to_bytes(const http_response& response, const response_form& form)
{
    http::response<http::string_body> message;
    message.result(response.status);
    message.set(http::field::server, server_name);
    message.set(http::field::date, date_text());
    for (const auto& h : response.headers)
    {
        message.insert(h.name, h.value);
    }
    if (!form.keep_alive)
    {
        message.set(http::field::connection, "close");
    }
    if (!response.body.empty())
    {
        message.set(http::field::content_type, response.content_type);
    }
    if (may_have_body(response.status))
    {
        message.content_length(response.body.size());
    }
    if (!form.without_body)
    {
        message.body() = response.body;
    }
    http::response_serializer<http::string_body> serializer(message);
    std::string out;
    boost::system::error_code ec;
    while (!serializer.is_done() && !ec)
    {
        serializer.next(
            ec,
            [&](boost::system::error_code&, const auto& buffers)
            {
                std::size_t n = 0;
                for (const auto it : boost::beast::buffers_range_ref(buffers))
                {
                    out.append(static_cast<const char*>(it.data()), it.size());
                    n += it.size();
                }
                serializer.consume(n);
            });
    }
    return out;
}

} // namespace agatebank
