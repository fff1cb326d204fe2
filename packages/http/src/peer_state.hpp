#pragma once

namespace agatebank
{

/// @brief What the client of a request that has been read is doing.
enum class peer_state
{
    waiting, ///< for the response
    closed
};

/// @brief Looks at a connected socket without reading from it. Unread bytes
/// don't hide the end of the connection, as far as they leave room in the
/// socket's receive buffer: the end is behind them.
peer_state look_at_peer(int fd);

} // namespace agatebank
