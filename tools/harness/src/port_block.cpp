#include <agatebank/harness/port_block.hpp>

#include <gio/gio.h>

#include <stdexcept>

namespace agatebank
{

namespace
{

constexpr uint16_t first_port = 21000;
constexpr uint16_t last_port = 23999;
constexpr uint16_t ports_per_block = 60;

object_ptr<GSocket> lock_port(uint16_t port)
{
    object_ptr<GSocket> s(g_socket_new(G_SOCKET_FAMILY_IPV4,
                                       G_SOCKET_TYPE_STREAM,
                                       G_SOCKET_PROTOCOL_TCP, nullptr));
    const object_ptr<GSocketAddress> address(
        g_inet_socket_address_new_from_string("127.0.0.1", port));
    if (!s || g_socket_bind(s.get(), address.get(), FALSE, nullptr) == FALSE ||
        g_socket_listen(s.get(), nullptr) == FALSE)
    {
        return nullptr;
    }
    return s;
}

} // namespace

port_block::port_block()
{
    for (uint16_t first = first_port; first + ports_per_block <= last_port;
         first = static_cast<uint16_t>(first + ports_per_block))
    {
        lock_ = lock_port(first);
        if (lock_)
        {
            next_ = static_cast<uint16_t>(first + 1);
            end_ = static_cast<uint16_t>(first + ports_per_block);
            return;
        }
    }
    throw std::runtime_error("every port block is reserved by another process");
}

uint16_t port_block::take()
{
    if (next_ == end_)
    {
        throw std::runtime_error("no unused port left in the block");
    }
    return next_++;
}

} // namespace agatebank
