#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/core/strong_id.hpp>
#include <agatebank/loop/object_ptr.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace agatebank
{

/// @brief Identifies a socket within its poller; never reused, unlike the
/// numbers of descriptors. 0 means no socket.
using socket_watch_id = strong_id<struct socket_watch_id_tag, uint64_t>;

/// @brief Callbacks for one socket. Each may add and remove sockets, including
/// its own. Without on_end, errors and the end of the connection count as
/// readable.
struct socket_handlers
{
    std::function<void()> on_readable;
    std::function<void()> on_writable = {}; ///< may be empty
    /// The peer has closed its sending direction, or the connection failed;
    /// called after on_readable. May be empty.
    std::function<void()> on_end = {};
};

/// @brief What a socket is waited for. Failures of the connection are reported
/// in any case.
struct socket_interest
{
    bool readable = false;
    bool writable = false;
    bool end = false; ///< the peer has closed its sending direction

    auto operator<=>(const socket_interest&) const = default;
};

/// @brief Waits for many sockets with one epoll set behind one GLib source.
///
/// Load pattern: an entry with 52 agents wakes up about 14 times per job, each
/// time for one or two sockets. The cost of a wake-up depends on the sockets
/// that are ready, not on those that are open. Each call of a handler should
/// read a bounded amount: sockets with more data are called again in the next
/// iteration of the loop, after the others that are ready.
class socket_poller
{
  public:
    // construction
    socket_poller();
    socket_poller(const socket_poller&) = delete;
    socket_poller& operator=(const socket_poller&) = delete;
    ~socket_poller();

    // modifiers
    /// @brief Waits until the socket is readable, again after each call of its
    /// handler, and for the end of the connection if there is a handler for it.
    /// @param fd to be removed before it is closed
    /// @return an id, or the errno of step "loop.epoll_create" or
    /// "loop.epoll_add"
    result<socket_watch_id> add(int fd, socket_handlers handlers);
    /// @brief Waits for the end of the connection only: the peer has closed its
    /// sending direction, or the connection failed. Unread bytes don't count
    /// and don't hide it. The socket's handler is called in each iteration of
    /// the loop from then on, so it should remove the socket.
    /// @param fd to be removed before it is closed
    /// @return as add()
    result<socket_watch_id> add_end_watch(int fd, std::function<void()> on_end);
    /// @brief Sets what the socket is waited for.
    /// @return the errno of step "loop.epoll_modify"; success for an unknown id
    result<void> set_interest(socket_watch_id id, socket_interest interest);
    /// @brief Begins or ends waiting until the socket is writable.
    /// @return the errno of step "loop.epoll_modify"; success for an unknown id
    result<void> wait_writable(socket_watch_id id, bool wait);
    /// @brief Removes a socket; its handlers are not called any more. Does
    /// nothing if the id is unknown.
    void remove(socket_watch_id id);

    // lookup
    /// @return the errno of step "loop.epoll_create" if the set could not be
    /// created
    const result<void>& status() const noexcept;
    std::size_t size() const noexcept;

  private:
    struct entry
    {
        int fd;
        socket_handlers handlers;
        socket_interest interest;
    };

    result<socket_watch_id> add_entry(int fd, socket_handlers handlers,
                                      socket_interest interest);
    void dispatch_ready();
    void call_handlers(socket_watch_id id, uint32_t events);

    int epoll_fd_;
    result<void> status_;
    std::unordered_map<socket_watch_id, std::shared_ptr<entry>> entries_;
    /// The registration that the kernel holds for a descriptor.
    std::unordered_map<int, socket_watch_id> by_fd_;
    uint64_t last_id_ = 0;
    source_ptr source_;
};

} // namespace agatebank
