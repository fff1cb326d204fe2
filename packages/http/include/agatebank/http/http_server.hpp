#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_message.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace agatebank
{

/// @brief Address, certificate and limits of an HTTP server.
struct http_server_options
{
    std::string address = "127.0.0.1"; ///< IP address
    uint16_t port = 0;                 ///< 0: any free port
    std::string tls_certificate;       ///< PEM file, empty: no TLS
    std::string tls_key;               ///< PEM file
    std::size_t max_body_bytes = 4U << 20U;
    /// maximum time for receiving a request's head and body, from the
    /// connection's acceptance or the response before, and for sending a
    /// response
    duration read_timeout = std::chrono::seconds(30);
};

/// @brief Sends the response to one request; called once, during the handler
/// or later. Does nothing if the client has disconnected.
using http_responder = std::function<void(http_response)>;

/// @brief Handles one request.
using http_handler = std::function<void(const http_request&, http_responder)>;

/// @brief HTTP server with routes on the process's event loop. Refuses chunked
/// request bodies (411) and bodies over the limit (413). A connection without a
/// request costs no processor time.
///
/// @code
/// http_server server(loop, options);
/// server.route("GET", "/v1/jobs/{id}", [](const auto& rq, auto respond) {
///     respond(json_response(200, {{"id", rq.captures.at("id")}}));
/// });
/// const auto port = server.listen();
/// @endcode
class http_server
{
  public:
    // construction
    http_server(event_loop& loop, http_server_options options);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // routes
    /// @brief Adds a route. A pattern's `{name}` matches one path segment.
    void route(const std::string& method, const std::string& pattern,
               http_handler handler);

    /// @brief Sets the handler for requests that match no route.
    void set_fallback_handler(http_handler handler);
    /// @brief Sets the callback that receives the id of a request whose
    /// client closed its connection before the response. It is called at most
    /// once per request. To be set before listen().
    void on_abandoned(std::function<void(uint64_t)> handler);

    // lifetime
    /// @brief Starts listening. @return the port that is bound
    result<uint16_t> listen();
    /// @brief To be called when the process has noticed that it was paused for
    /// so long that requests may arrive late. Handles the requests that have
    /// arrived whole, tells their possible delay, and ends each connection
    /// behind its response; those without a request at once. A late request
    /// then meets a closed connection.
    /// @param began of the pause
    /// @return number of connections that end
    std::size_t on_pause(time_point began);
    /// @brief Stops accepting connections; requests in flight continue.
    void stop_accepting();

    // lookup
    /// @brief Number of requests that have been read and not yet answered.
    std::size_t in_flight() const noexcept;
    /// @brief Number of open connections.
    std::size_t connections() const noexcept;
    /// @brief Number of connections accepted since the start.
    uint64_t accepted() const noexcept;
    const http_server_options& options() const noexcept;

  private:
    struct state;

    /// Responders outlive the server.
    std::shared_ptr<state> state_;
};

} // namespace agatebank
