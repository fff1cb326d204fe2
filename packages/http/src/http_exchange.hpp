#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_message.hpp>
#include <agatebank/loop/object_ptr.hpp>
#include <agatebank/loop/socket_poller.hpp>

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>

namespace agatebank
{

/// @brief One request of a server that has been read, until its response has
/// been written. Tells when the client leaves before.
class http_exchange
{
  public:
    // construction
    /// @param message paused by the caller
    http_exchange(SoupServerMessage* message, socket_poller& sockets,
                  uint64_t request_id);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    // modifiers
    /// @brief Calls a function with the id of the request when the client
    /// closes its connection before the response. libsoup does not detect that
    /// while the message is paused.
    /// @return whether the client has closed it already, or why it can't be
    /// watched; nothing is called then
    result<bool> watch_peer(std::function<void(uint64_t)> abandoned);
    /// @brief Sends the response. Does nothing after the first call, or if the
    /// client has disconnected.
    void answer(const http_response& response);

  private:
    static void on_closed(SoupServerMessage* message, gpointer self);

    void notify_abandoned();
    void end_peer_watch();

    object_ptr<SoupServerMessage> message_;
    socket_poller& sockets_;
    uint64_t request_id_;
    bool closed_ = false;
    bool answered_ = false;
    std::function<void(uint64_t)> abandoned_;
    socket_watch_id peer_watch_;
    gulong finished_handler_ = 0;
    gulong disconnected_handler_ = 0;
};

/// @brief Writes a response's head and body into a message.
void write_response(SoupServerMessage* message, const http_response& response);

} // namespace agatebank
