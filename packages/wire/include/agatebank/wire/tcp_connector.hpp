#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace agatebank
{

/// @brief An IP address and a port.
struct endpoint
{
    std::string address;
    uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;

    std::string to_string() const;
};

/// @brief Whether an IP address belongs to the loopback range.
bool is_loopback(const std::string& address);

/// @brief Accepts TCP connections.
class tcp_listener
{
  public:
    using on_connection = std::function<void(object_ptr<GSocketConnection>)>;

    // construction
    explicit tcp_listener(on_connection handler);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    // modifiers
    /// @brief Starts listening. @return the port that is bound
    result<uint16_t> listen(const endpoint& local);
    /// @brief Stops listening.
    void close();

  private:
    static gboolean on_incoming(GSocketService*, GSocketConnection* connection,
                                GObject*, gpointer self);

    on_connection handler_;
    object_ptr<GSocketService> service_;
};

/// @brief Opens TCP connections.
class tcp_connector
{
  public:
    using completion =
        std::function<void(result<object_ptr<GSocketConnection>>)>;

    // construction
    /// @param timeout of a connection attempt, rounded up to whole seconds and
    /// at least 1 s
    explicit tcp_connector(duration timeout);

    // modifiers
    /// @brief Connects without blocking. @return a handle; destroying it
    /// cancels the attempt, and the completion is then not called
    [[nodiscard]] std::shared_ptr<void> connect(const endpoint& remote,
                                                completion done);

  private:
    object_ptr<GSocketClient> client_;
};

} // namespace agatebank
