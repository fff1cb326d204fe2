#include "peer_state.hpp"

#include <poll.h>

namespace agatebank
{

peer_state look_at_peer(int fd)
{
    // Without POLLIN: whether bytes are unread makes no difference.
    pollfd socket{fd, POLLRDHUP, 0};
    constexpr int no_wait = 0;
    return ::poll(&socket, 1, no_wait) > 0 ? peer_state::closed
                                           : peer_state::waiting;
}

} // namespace agatebank
