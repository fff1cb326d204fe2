#pragma once

#include <agatebank/loop/unique_fd.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace agatebank
{

/// @brief Clients that connect without waiting for their server, hold the
/// connection and send nothing.
class silent_clients
{
  public:
    /// @param server IPv4 address
    silent_clients(const std::string& server, uint16_t port, std::size_t n)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, server.c_str(), &address.sin_addr);
        for (std::size_t i = 0; i < n; ++i)
        {
            sockets_.emplace_back(
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            ::connect(sockets_.back().get(),
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof address);
        }
    }

    /// @brief Number of clients whose connection the server's kernel has taken.
    std::size_t connected() const
    {
        std::size_t out = 0;
        for (const auto& it : sockets_)
        {
            pollfd socket{it.get(), POLLOUT, 0};
            constexpr int no_wait = 0;
            out += ::poll(&socket, 1, no_wait) == 1 &&
                           (socket.revents & (POLLERR | POLLHUP)) == 0
                       ? 1
                       : 0;
        }
        return out;
    }

  private:
    std::vector<unique_fd> sockets_;
};

} // namespace agatebank
