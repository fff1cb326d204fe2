#pragma once

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace agatebank
{

/// @brief Stand-in of a VM that is not up: a listener with a full backlog. The
/// kernel drops further SYN packets, so a connection attempt gets no answer.
class silent_listener
{
  public:
    silent_listener(const std::string& address, uint16_t port)
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        ::inet_pton(AF_INET, address.c_str(), &at.sin_addr);
        const auto* generic = reinterpret_cast<const sockaddr*>(&at);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (::bind(listener_, generic, sizeof at) != 0 ||
            ::listen(listener_, 0) != 0)
        {
            throw std::runtime_error("no silent listener at " + address + ":" +
                                     std::to_string(port));
        }
        for (int& it : fillers_)
        {
            it = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            // Non-blocking: the connection completes later or never.
            static_cast<void>(::connect(it, generic, sizeof at));
        }
    }

    ~silent_listener()
    {
        for (const int it : fillers_)
        {
            ::close(it);
        }
        ::close(listener_);
    }

    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;

  private:
    int listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    std::array<int, 4> fillers_{};
};

} // namespace agatebank
