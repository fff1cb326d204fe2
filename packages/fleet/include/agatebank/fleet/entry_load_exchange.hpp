#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/relay_messages.hpp>
#include <agatebank/fleet/job_processor_time.hpp>
#include <agatebank/fleet/processor_load.hpp>
#include <agatebank/fleet/relay_decision.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace agatebank
{

/// @brief Settings of an entry_load_exchange.
struct entry_load_options
{
    double processor_share = 0; ///< cores; 0: not limited
    failure_domain_name failure_domain;
    bool sends_load = false; ///< whether other entries are told the load
};

/// @brief Measures the load of this entry, tells it to linked entries when it
/// has changed, at most every 200 ms, and keeps the latest load of each of
/// them. Messages and memory grow with the links to entries.
class entry_load_exchange
{
  public:
    using sender = std::function<void(relay_peer_id, const entry_load&)>;

    // construction
    entry_load_exchange(entry_load_options options, sender send);

    // modifiers
    /// @brief A linked entry has sent its load.
    void on_load(relay_peer_id peer, const entry_load& load,
                 const failure_domain_name& domain, time_point now);
    void add_peer(relay_peer_id peer);
    void remove_peer(relay_peer_id peer);
    /// @brief Tells a peer to relay no more jobs over a link that is about to
    /// be closed, and relays none over it.
    void retire_peer(relay_peer_id peer);
    /// @brief A job was relayed to a peer.
    void count_relay(relay_peer_id peer);
    /// @brief Adds a sample, and sends the load if it is due.
    /// @param work of this process since its start
    /// @param can_serve whether this entry accepts relays if it has processor
    /// time to spare
    void tick(time_point now, const entry_work& work, std::size_t running_jobs,
              bool can_serve);

    // lookup
    const processor_load& own() const noexcept;
    const job_processor_time& job_time() const noexcept;
    /// @brief The linked entries with a known load.
    std::vector<relay_peer> peers(time_point now) const;
    /// @brief The number of linked entries that accept relays.
    std::size_t accepting_peers() const;

  private:
    struct peer_state
    {
        std::optional<entry_load> load; ///< last one received
        bool same_domain = false;
        time_point received;
        uint32_t unreported_jobs = 0;
        time_point counted_since; ///< of unreported_jobs
        std::optional<entry_load> sent;
        bool retired = false;
    };

    entry_load_options options_;
    sender send_;
    processor_load own_;
    job_processor_time job_time_;
    std::map<relay_peer_id, peer_state> peers_;
    time_point last_sent_;
};

} // namespace agatebank
