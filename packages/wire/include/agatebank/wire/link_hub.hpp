#pragma once

#include <agatebank/core/strong_id.hpp>
#include <agatebank/wire/tcp_connector.hpp>
#include <agatebank/wire/tcp_link.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace agatebank
{

/// @brief Identifies a link within its hub; never reused.
using link_id = strong_id<struct link_id_tag, uint64_t>;

/// @brief What is at the other end of a link.
enum class link_class : uint8_t
{
    unidentified, ///< the peer has not said yet
    agent,
    entry
};

/// @brief Callbacks of a hub's owner; on_heartbeat may be empty.
struct hub_handlers
{
    std::function<void(link_id, message&&)> on_message;
    std::function<void(link_id, const heartbeat&)> on_heartbeat;
    std::function<void(link_id, const failure&)> on_closed;
};

/// @brief Owns the links of a process and addresses them by id.
class link_hub
{
  public:
    // construction
    link_hub(link_context context, hub_handlers handlers);

    // modifiers
    /// @brief Takes ownership of a connection and opens a link over it.
    link_id add(object_ptr<GSocketConnection> connection);
    /// @brief Sends over a link; does nothing if the link has closed.
    void send(link_id id, const message& m);
    /// @brief Sets what is at the other end of a link, for its traffic.
    void set_class(link_id id, link_class peer);
    /// @brief Closes a link without calling on_closed.
    void close(link_id id);

    // lookup
    /// @brief The link, or null if it has closed.
    const tcp_link* find(link_id id) const;
    std::size_t size() const noexcept;
    /// @brief Longest delay of a last message among the open links.
    duration longest_delay() const;
    /// @brief Sum over all links, including those that have closed.
    link_traffic total_traffic() const;
    /// @brief Sum over all links of a class, including those that have closed.
    link_traffic traffic(link_class peer) const;

  private:
    struct classified_link
    {
        std::unique_ptr<tcp_link> link;
        link_class peer = link_class::unidentified;
    };

    void add_closed_traffic(link_id id);
    void on_heartbeat_timer();

    link_context context_;
    hub_handlers handlers_;
    std::unordered_map<link_id, classified_link> links_;
    std::map<link_class, link_traffic> closed_traffic_;
    uint64_t last_id_ = 0;
    watch timer_; ///< shared by all links to save wake-ups
};

} // namespace agatebank
