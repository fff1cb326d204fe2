#pragma once

#include <agatebank/entry/entry_directory.hpp>
#include <agatebank/wire/link_hub.hpp>

#include <functional>
#include <map>
#include <memory>

namespace agatebank
{

/// @brief The links to other entries, each opened by the first message that is
/// to be sent on it. Replies arrive on the same link.
class peer_links
{
  public:
    // construction
    peer_links(link_hub& hub, tcp_connector& connector,
               entry_directory& entries, process_identity self);

    /// @brief Sets the handler called when a link has been opened.
    void on_link_up(std::function<void(entry_incarnation)> handler);

    // modifiers
    /// @brief Sends a message if the link to a peer is open; otherwise opens
    /// the link and discards the message.
    /// @return the link on which the message was sent, or 0 when it was not
    link_id send(entry_incarnation peer, const message& m);
    /// @brief Removes a closed link; the next message opens a new one.
    void on_closed(link_id link);

  private:
    struct peer_connection
    {
        link_id link;
        std::shared_ptr<void> connecting;
    };

    void connect(entry_incarnation peer, const endpoint& remote);

    link_hub& hub_;
    tcp_connector& connector_;
    entry_directory& entries_;
    process_identity self_;
    std::function<void(entry_incarnation)> link_up_handler_;
    std::map<entry_incarnation, peer_connection> connections_;
};

} // namespace agatebank
