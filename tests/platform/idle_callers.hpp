#pragma once

#include <agatebank/loop/unique_fd.hpp>
#include <agatebank/wire/tcp_connector.hpp>

#include <cstddef>
#include <stdexcept>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace agatebank
{

/// @brief Callers that hold an open connection and send nothing.
class idle_callers
{
  public:
    /// @param to IPv4 address
    /// @throw std::runtime_error if a connection fails
    idle_callers(const endpoint& to, std::size_t n)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        ::inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
        for (std::size_t i = 0; i < n; ++i)
        {
            sockets_.emplace_back(::socket(AF_INET, SOCK_STREAM, 0));
            if (::connect(sockets_.back().get(),
                          reinterpret_cast<const sockaddr*>(&address),
                          sizeof address) != 0)
            {
                throw std::runtime_error("no connection to " + to.to_string());
            }
        }
    }

  private:
    std::vector<unique_fd> sockets_;
};

} // namespace agatebank
