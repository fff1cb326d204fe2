#include "connection_listener.hpp"

#include <agatebank/loop/accept_queue.hpp>

#include <array>
#include <cerrno>
#include <limits>
#include <system_error>
#include <utility>

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace agatebank
{

namespace
{

constexpr const char* step_listen = "http.listen";
/// Other sockets have their turn after this many connections.
constexpr int max_accepted_at_once = 64;
/// Pause after the process or the machine is out of descriptors or memory.
constexpr duration exhausted_pause = std::chrono::milliseconds(100);

bool is_exhausted(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS ||
           error == ENOMEM;
}

std::string to_host(const sockaddr_storage& address, socklen_t size)
{
    std::array<char, NI_MAXHOST> buf{};
    const int failed =
        ::getnameinfo(reinterpret_cast<const sockaddr*>(&address), size,
                      buf.data(), buf.size(), nullptr, 0, NI_NUMERICHOST);
    return failed != 0 ? "" : buf.data();
}

void set_no_delay(int fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

connection_listener::connection_listener(event_loop& loop,
                                         connection_handler handler)
    : loop_(loop), handler_(std::move(handler))
{
}

connection_listener::~connection_listener()
{
    close();
}

result<uint16_t> connection_listener::listen(const std::string& address,
                                             uint16_t port)
{
    const std::string peer = address + ":" + std::to_string(port);
    const object_ptr<GSocketAddress> local(
        g_inet_socket_address_new_from_string(address.c_str(), port));
    if (!local)
    {
        return fail(errc::settings_invalid, step_listen, peer,
                    "not an IP address");
    }
    GError* raw = nullptr;
    object_ptr<GSocket> socket(
        g_socket_new(g_socket_address_get_family(local.get()),
                     G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &raw));
    if (socket)
    {
        g_socket_set_blocking(socket.get(), FALSE);
        g_socket_set_listen_backlog(socket.get(), accept_queue_length);
    }
    constexpr gboolean reuse_address = TRUE;
    object_ptr<GSocketAddress> bound;
    if (socket &&
        g_socket_bind(socket.get(), local.get(), reuse_address, &raw) == TRUE &&
        g_socket_listen(socket.get(), &raw) == TRUE)
    {
        bound.reset(g_socket_get_local_address(socket.get(), &raw));
    }
    if (!bound)
    {
        const error_ptr error(raw);
        return fail(errc::address_in_use, step_listen, peer, error->message);
    }
    const auto id = loop_.sockets().add(g_socket_get_fd(socket.get()),
                                        {[this] { accept_waiting(); }, {}, {}});
    if (!id)
    {
        return tl::unexpected(id.error());
    }
    watch_ = *id;
    socket_ = std::move(socket);
    return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()));
}

void connection_listener::close()
{
    resume_.reset();
    loop_.sockets().remove(std::exchange(watch_, {}));
    socket_.reset();
}

void connection_listener::accept_all()
{
    while (socket_ && accept_waiting())
    {
    }
}

bool connection_listener::accept_waiting()
{
    for (int i = 0; i < max_accepted_at_once && socket_; ++i)
    {
        sockaddr_storage address{};
        socklen_t size = sizeof address;
        unique_fd fd(::accept4(g_socket_get_fd(socket_.get()),
                               reinterpret_cast<sockaddr*>(&address), &size,
                               SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (fd.get() >= 0)
        {
            set_no_delay(fd.get());
            handler_(std::move(fd), to_host(address, size));
            continue;
        }
        const int error = errno;
        if (is_exhausted(error))
        {
            pause(error);
        }
        if (error != EINTR && error != ECONNABORTED)
        {
            return false;
        }
    }
    return true;
}

void connection_listener::pause(int error)
{
    g_warning("%s: no connection accepted for %d ms: %s", step_listen,
              static_cast<int>(exhausted_pause / std::chrono::milliseconds(1)),
              std::generic_category().message(error).c_str());
    loop_.sockets().set_interest(watch_, {});
    resume_ = loop_.after(
        exhausted_pause,
        [this] {
            loop_.sockets().set_interest(watch_, {true, false, false});
        });
}

} // namespace agatebank
