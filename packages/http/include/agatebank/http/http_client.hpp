#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_message.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <libsoup/soup.h>

#include <functional>
#include <memory>
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
    /// The library may reuse a kept connection and send the request again
    /// when that connection breaks. Must be false for anything that may
    /// take effect only once.
    bool may_resend = false;
};

/// @brief A failed call and whether the request may have reached the peer.
struct http_failure
{
    failure reason;
    bool may_have_been_received = true;
};

/// @brief Receives the end of a call; called once, unless cancelled.
using http_completion =
    std::function<void(const tl::expected<http_response, http_failure>&)>;

/// @brief A call in flight. Destroying it cancels the call; its completion
/// is then not called.
using http_call_handle = std::shared_ptr<void>;

/// @brief HTTP client on the process's event loop.
class http_client
{
  public:
    // construction
    /// @param ca_file PEM file of the trusted certificates, empty: system's
    /// @param max_connections to all hosts together
    explicit http_client(event_loop& loop, const std::string& ca_file = {},
                         int max_connections = 128);

    // calls
    /// @brief Sends a request. An answer that is cut short, or whose end
    /// cannot be told from a lost connection, is a failure: a body needs
    /// Content-Length, or chunks on a connection of its own (may_resend is
    /// false) that the peer leaves open.
    [[nodiscard]] http_call_handle send(const http_call& call,
                                        http_completion done);

  private:
    event_loop& loop_;
    object_ptr<SoupSession> session_;
};

} // namespace agatebank
