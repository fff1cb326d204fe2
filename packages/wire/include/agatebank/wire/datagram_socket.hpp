#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/wire/authenticator.hpp>
#include <agatebank/wire/codec.hpp>
#include <agatebank/wire/tcp_connector.hpp>

#include <cstdint>
#include <functional>

namespace agatebank
{

/// @brief Sends and receives announcements over UDP. Datagrams that are
/// malformed or have an invalid tag are counted and dropped.
class datagram_socket
{
  public:
    using on_announcement = std::function<void(const entry_announcement&)>;

    // construction
    datagram_socket(hybrid_clock& clock, const authenticator& auth,
                    on_announcement handler);

    // modifiers
    /// @brief Binds the socket and starts receiving.
    result<void> bind(const endpoint& local);
    /// @brief Sends one datagram. Errors are ignored, because a datagram may be
    /// lost anyway.
    void send(const endpoint& remote, const entry_announcement& a);

    // lookup
    /// @brief Number of received datagrams that were dropped.
    uint64_t dropped() const noexcept;

  private:
    static gboolean on_readable(GSocket*, GIOCondition, gpointer self);
    void receive_one();
    void handle_datagram(std::string_view datagram);

    hybrid_clock& clock_;
    const authenticator& auth_;
    on_announcement handler_;
    object_ptr<GSocket> socket_;
    source_ptr source_;
    uint64_t dropped_ = 0;
};

} // namespace agatebank
