#pragma once

#include "request_reader.hpp"
#include <agatebank/core/strong_id.hpp>
#include <agatebank/http/http_message.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/loop/timer_queue.hpp>
#include <agatebank/loop/unique_fd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace agatebank
{

/// @brief Identifies a connection within its server; never reused.
using connection_id = strong_id<struct connection_id_tag, uint64_t>;

/// @brief What a connection needs of its server.
struct connection_context
{
    event_loop& loop;
    timer_queue& timers;
    request_limits limits;
    duration read_timeout; ///< for receiving a request and sending a response
    bool watches_peer;     ///< requests tell whether their client has left
};

/// @brief What a connection reports. The first two may end the connection.
struct connection_hooks
{
    /// A request was read; its request_id is set by the hook's owner.
    std::function<void(http_request)> on_request;
    /// The client closed its connection before the response.
    std::function<void()> on_abandoned;
    /// The connection has ended; its owner may destroy it.
    std::function<void()> on_closed;
};

/// @brief One connection of a client to a server: requests one after the other,
/// each answered before the next one is read.
///
/// Load pattern: an entry of 0.12 cores holds 600 connections of callers, most
/// of them without a request. Such a connection costs nothing: its socket is
/// only in the epoll set of the loop, and its timer runs once in a while.
class server_connection : public std::enable_shared_from_this<server_connection>
{
  public:
    // construction
    /// @param socket non-blocking
    /// @param peer address of the client
    server_connection(connection_context context, unique_fd socket,
                      std::string peer, connection_hooks hooks);
    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    // modifiers
    /// @brief Begins to wait for requests. @return as socket_poller::add()
    result<void> open();
    /// @brief Sends the response to the request that was reported last. Does
    /// nothing if there is none, or if the connection has ended.
    void answer(const http_response& response);
    /// @brief The process was paused, and the client's TCP sends again later
    /// what was lost meanwhile, which can't be told from a new request. Handles
    /// a request that has arrived whole, and ends the connection after its
    /// response; at once if there is none.
    /// @param began of the pause
    void on_pause(time_point began);
    /// @brief Ends the connection without a report.
    void close();

  private:
    enum class phase
    {
        reading,  ///< waits for a request
        handling, ///< a request has no response yet
        writing,
        draining, ///< discards what the client still sends
        closed
    };

    void on_readable();
    void on_writable();
    void on_end();
    void on_timer();

    /// @return whether further bytes may be unread
    bool receive();
    void discard_input();
    void read_next();
    void handle(whole_request whole);
    void send_response(const http_response& response);
    void flush();
    void end_response();
    void begin_draining();
    void fail();
    void set_interest(socket_interest interest);
    void schedule_timer(duration delay);

    connection_context context_;
    unique_fd socket_;
    std::string peer_;
    connection_hooks hooks_;
    phase phase_ = phase::reading;
    request_reader reader_;
    std::string unsent_;
    time_point accepted_;
    std::optional<time_point> paused_; ///< begin of the first pause
    time_point deadline_;              ///< of the present phase
    socket_watch_id watch_;
    timer_id timer_;
    bool is_first_request_ = true;
    bool keep_alive_ = true;
    bool without_body_ = false; ///< the present request is HEAD
    bool peer_left_ = false;
};

} // namespace agatebank
