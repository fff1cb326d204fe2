#pragma once

#include <agatebank/entry/entry_directory.hpp>
#include <agatebank/wire/link_hub.hpp>

#include <functional>
#include <map>
#include <memory>

namespace agatebank
{

/// @brief Links that this entry opens to other entries when it has something
/// to send. Replies come back on the same link.
class peer_links
{
  public:
    // construction
    peer_links(link_hub& hub, tcp_connector& connector,
               entry_directory& entries, process_identity self);

    /// @brief Called when a link that was being opened is up.
    void on_up(std::function<void(entry_incarnation)> handler);

    // modifiers
    /// @brief Sends if the link is up; opens it otherwise.
    /// @return the link it was sent on, or none
    link_id send(entry_incarnation peer, const message& m);
    /// @brief Forgets a link that was closed.
    void on_closed(link_id link);

  private:
    struct peer_route
    {
        link_id link;
        std::shared_ptr<void> connecting;
    };

    void connect(entry_incarnation peer, const endpoint& remote);

    link_hub& hub_;
    tcp_connector& connector_;
    entry_directory& entries_;
    process_identity self_;
    std::function<void(entry_incarnation)> up_;
    std::map<entry_incarnation, peer_route> routes_;
};

} // namespace agatebank
