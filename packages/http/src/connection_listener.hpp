#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/loop/object_ptr.hpp>
#include <agatebank/loop/unique_fd.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace agatebank
{

/// @brief Accepts TCP connections.
///
/// Load pattern: hundreds of callers connect while the process is out of its
/// processor share. The kernel queues as many as it allows, and a wake-up
/// accepts many of them.
class connection_listener
{
  public:
    /// @param socket non-blocking
    /// @param peer IP address of the client
    using connection_handler =
        std::function<void(unique_fd socket, std::string peer)>;

    // construction
    connection_listener(event_loop& loop, connection_handler handler);
    ~connection_listener();
    connection_listener(const connection_listener&) = delete;
    connection_listener& operator=(const connection_listener&) = delete;

    // modifiers
    /// @param address IP address
    /// @param port 0: any free port
    /// @return the port that is bound, or errc::settings_invalid or
    /// errc::address_in_use of step "http.listen"
    result<uint16_t> listen(const std::string& address, uint16_t port);
    /// @brief Accepts all connections that wait, without a turn for others.
    void accept_all();
    /// @brief Stops accepting; connections that wait are reset.
    void close();

  private:
    /// @return whether further connections may wait
    bool accept_waiting();
    void pause(int error);

    event_loop& loop_;
    connection_handler handler_;
    object_ptr<GSocket> socket_;
    socket_watch_id watch_;
    watch resume_;
};

} // namespace agatebank
