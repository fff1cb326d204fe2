#pragma once

namespace agatebank
{

/// @brief What the client of a request that has been read is doing.
enum class peer_state
{
    waiting, ///< for the response
    closed,
    unknown ///< unread data of a pipelined request hides the end
};

/// @brief Looks at a connected socket without reading from it.
peer_state look_at_peer(int fd);

} // namespace agatebank
