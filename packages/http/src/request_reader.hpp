#pragma once

#include <agatebank/http/http_message.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace agatebank
{

/// @brief Limits of one request.
struct request_limits
{
    std::size_t max_head_bytes;
    std::size_t max_body_bytes;
};

/// @brief A request that was read whole.
struct whole_request
{
    http_request request;
    /// The client expects that the connection stays open after the response.
    bool keep_alive;
};

/// @brief What a connection's next bytes are: a request, or the response to
/// bytes that are none. After a refusal no further request can be read.
using read_outcome = std::variant<whole_request, http_response>;

/// @brief Reads the requests of one connection from its bytes (HTTP/1.1, RFC
/// 9112). Refuses bodies without a Content-Length (411) or over the limit
/// (413), and heads over the limit (431).
class request_reader
{
  public:
    // construction
    explicit request_reader(request_limits limits);
    ~request_reader();
    request_reader(request_reader&&) noexcept;
    request_reader& operator=(request_reader&&) noexcept;

    // modifiers
    void append(std::string_view bytes);
    /// @return the next request or refusal; nothing if it needs more bytes
    std::optional<read_outcome> next();
    /// @brief Whether the client waits for "100 Continue" before it sends the
    /// body. Returns true at most once per request.
    bool take_continue_request();

    // lookup
    /// @brief Bytes that belong to later requests or to one that isn't whole.
    bool has_unread_bytes() const noexcept;

  private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace agatebank
