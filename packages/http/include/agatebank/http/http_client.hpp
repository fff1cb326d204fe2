#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_message.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace agatebank
{

/// @brief One outgoing request.
struct http_call
{
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string content_type = "application/json";
    std::string body;
    duration timeout = std::chrono::seconds(5);
    /// Allows the HTTP library to reuse a persistent connection, and to send a
    /// GET or PUT, but no POST, again when that connection breaks. Must
    /// be false for requests that may take effect only once.
    bool may_resend = false;
    /// If set, the request is only sent on this connection of the client. The
    /// call fails if that connection has ended, see
    /// http_failure::connection_ended.
    std::optional<http_connection_id> connection;
};

/// @brief A failed call and whether the request may have reached the peer. The
/// reason is errc::peer_unreachable if the peer refused the connection, so that
/// nothing listens there, and errc::target_unreachable if it could not be
/// opened for another cause. The request may have been received nevertheless:
/// the peer can end after an earlier try was sent.
struct http_failure
{
    failure reason;
    bool may_have_been_received = true;
    /// nothing was sent, as the requested connection had ended
    bool connection_ended = false;
};

/// @brief Receives the outcome of a call; called once, unless the call is
/// cancelled.
using http_completion =
    std::function<void(const tl::expected<http_response, http_failure>&)>;

/// @brief Handle of a call in progress. Destroying it cancels the call; its
/// completion is then not called.
using http_call_handle = std::shared_ptr<void>;

/// @brief HTTP client on the process's event loop.
class http_client
{
  public:
    // construction
    /// @param ca_file PEM file of the trusted certificates; if empty, those of
    /// the system are used
    /// @param max_connections limit over all hosts together
    explicit http_client(event_loop& loop, const std::string& ca_file = {},
                         int max_connections = 128);

    // calls
    /// @brief Sends a request. A response that is truncated, or whose end
    /// cannot be distinguished from a lost connection, is a failure: a body
    /// needs Content-Length, or chunked encoding on a connection that no other
    /// call uses (may_resend is false) and that the peer leaves open.
    [[nodiscard]] http_call_handle send(const http_call& call,
                                        http_completion done);

  private:
    event_loop& loop_;
    object_ptr<SoupSession> session_;
};

} // namespace agatebank
