#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_message.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/loop/timer_queue.hpp>

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

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
    /// maximum time for receiving a request's head and body
    duration read_timeout = std::chrono::seconds(30);
};

/// @brief Sends the response to one request; called once, during the handler
/// or later. Does nothing if the client has disconnected.
using http_responder = std::function<void(http_response)>;

/// @brief Handles one request.
using http_handler = std::function<void(const http_request&, http_responder)>;

class http_exchange;

/// @brief HTTP server with routes on the process's event loop. Refuses chunked
/// request bodies (411) and bodies over the limit (413).
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
    /// once per request. A request whose connection can't be watched is
    /// answered with 503 and is not handled.
    void on_abandoned(std::function<void(uint64_t)> handler);

    // lifetime
    /// @brief Starts listening. @return the port that is bound
    result<uint16_t> listen();
    /// @brief Stops accepting connections; requests in flight continue.
    void stop_accepting();

    // lookup
    /// @brief Number of requests that have been read and not yet answered.
    std::size_t in_flight() const noexcept;
    const http_server_options& options() const noexcept;

  private:
    struct route_entry
    {
        std::string method;
        std::vector<std::string> segments;
        http_handler handler;
    };

    static void on_headers_read(SoupServer* server, SoupServerMessage* message,
                                const char* path, GHashTable* query,
                                gpointer self);
    static void on_request(SoupServer* server, SoupServerMessage* message,
                           const char* path, GHashTable* query, gpointer self);
    static void on_started(SoupServer* server, SoupServerMessage* message,
                           gpointer self);
    static void on_message_destroyed(gpointer self, GObject* message);
    void cancel_read_timer(SoupServerMessage* message);
    static void on_read_ended(SoupServer* server, SoupServerMessage* message,
                              gpointer self);

    void dispatch(const std::shared_ptr<http_exchange>& ex,
                  http_request request);
    http_responder make_responder(const std::shared_ptr<http_exchange>& ex);

    event_loop& loop_;
    http_server_options options_;
    object_ptr<SoupServer> server_;
    std::vector<route_entry> routes_;
    http_handler fallback_;
    std::function<void(uint64_t)> abandoned_;
    uint64_t last_request_id_ = 0;
    timer_queue timers_;
    std::map<SoupServerMessage*, timer_id> read_timers_;
    std::shared_ptr<std::size_t> in_flight_;
};

} // namespace agatebank
