#include "peer_state.hpp"

#include <cerrno>

#include <sys/socket.h>

namespace agatebank
{

peer_state look_at_peer(int fd)
{
    char byte = 0;
    const auto n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0)
    {
        return peer_state::unknown;
    }
    return n < 0 && (errno == EAGAIN || errno == EINTR) ? peer_state::waiting
                                                        : peer_state::closed;
}

} // namespace agatebank
