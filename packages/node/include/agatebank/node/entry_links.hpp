#pragma once

#include <agatebank/fleet/entry_roster.hpp>
#include <agatebank/node/node_context.hpp>
#include <agatebank/wire/link_hub.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Callbacks of the owner of an entry_links.
struct entry_links_hooks
{
    /// A link that this process dialed is open.
    std::function<void(link_id)> on_opened;
    /// A link is no longer needed, and the owner closes it once it has no use
    /// for it; see @ref entry_links::close.
    std::function<void(link_id)> on_unneeded;
    /// Records changed and are to be passed on over the links that are open.
    std::function<void(const roster_update&)> on_changes;
};

/// @brief Settings of an entry_links.
struct entry_links_options
{
    /// name for the selection; differs between processes
    std::string process;
    /// record of this process, if it is an entry
    std::optional<entry_record> self;
    std::size_t link_count = 0; ///< entries to keep links to
    /// whether this process decides that an entry is gone
    bool marks_gone = false;
};

/// @brief Keeps links from this process to its selection of the entries
/// (@ref select_entries). An entry that can't be reached is replaced by the
/// next one until it answers again. The links, dials and messages grow with
/// link_count and with the changes of the roster, not with the entries.
class entry_links
{
  public:
    // construction
    entry_links(const node_context& context, link_hub& hub,
                entry_links_options options, entry_links_hooks hooks);

    // modifiers
    void add_seeds(const std::vector<endpoint>& seeds);
    /// @brief Merges records that another process has sent.
    void merge(const roster_update& received);
    /// @brief A message or a heartbeat arrived over a link. Until then, a link
    /// may be a connection that only the peer's kernel has accepted.
    void on_received(link_id link);
    /// @brief A link has closed. @return whether this process had dialed it
    bool on_closed(link_id link);
    /// @brief Closes a link that is no longer needed.
    void close(link_id link);
    /// @brief Passes on changes and adjusts the links. To be called every
    /// 100 ms or more often.
    void tick();

    // lookup
    /// @brief All records, for a peer on a new link.
    roster_update roster() const;
    /// @brief The number of entries that are not gone, without this process.
    std::size_t known_entries() const;
    /// @brief The failure domain of the entry at the other end of a link.
    /// @return nothing if this process has not dialed the link
    std::optional<failure_domain_name> failure_domain(link_id link) const;
    /// @brief The number of open links that this process has dialed.
    std::size_t size() const noexcept;

  private:
    struct peer
    {
        std::size_t position = 0; ///< in the dialer
        bool dialing = false;
        std::optional<link_id> link;
        std::optional<time_point> unreachable_since;
        std::optional<time_point> unneeded_since; ///< while linked
        bool unneeded_reported = false;
    };

    peer& peer_of(const entry_address& address);
    void on_connected(std::size_t position,
                      object_ptr<GSocketConnection> connection);
    void on_dial_failed(std::size_t position);
    void set_unreachable(peer& p);
    void adjust_links();
    void report_unneeded(time_point now);
    void mark_gone_entries(time_point now);
    void add_changes(const std::vector<entry_record>& changes);

    const node_context& context_;
    link_hub& hub_;
    entry_links_options options_;
    entry_links_hooks hooks_;
    entry_roster roster_;
    endpoint_dialer dialer_;
    std::map<entry_address, peer> peers_;
    std::vector<entry_address> addresses_; ///< by position in the dialer
    std::map<link_id, entry_address> linked_;
    std::set<entry_address> selected_; ///< whether reachable or not
    std::vector<entry_record> unsent_changes_;
    time_point last_sent_;
    bool adjust_pending_ = false;
};

} // namespace agatebank
