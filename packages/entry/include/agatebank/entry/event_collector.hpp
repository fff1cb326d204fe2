#pragma once

#include <agatebank/entry/agent_directory.hpp>
#include <agatebank/entry/peer_links.hpp>

#include <functional>
#include <unordered_map>
#include <vector>

namespace agatebank
{

/// @brief Collects events for the timeline from this entry, the connected
/// agents and the other live entries. Replies that arrive after the timeout are
/// left out.
class event_collector
{
  public:
    using completion = std::function<void(std::vector<event>)>;

    // construction
    event_collector(timer_queue& timers, event_ring& local_events,
                    agent_directory& agents, entry_directory& entries,
                    peer_links& links);

    // modifiers
    /// @brief Collects the events that match a filter, then calls @p done.
    void collect(const event_filter& filter, completion done);
    /// @brief Adds the events of a reply; a late reply is ignored.
    void on_reply(const event_reply& reply);
    /// @brief Sends the unfinished queries to a peer whose link was opened.
    void on_link_up(entry_incarnation peer);

  private:
    struct query
    {
        event_filter filter;
        completion done;
        std::vector<event> events;
        std::size_t outstanding = 0; ///< replies not received yet
        timer_id timeout;
    };

    void finish(uint64_t number);

    timer_queue& timers_;
    event_ring& local_events_;
    agent_directory& agents_;
    entry_directory& entries_;
    peer_links& links_;
    uint64_t last_number_ = 0;
    std::unordered_map<uint64_t, query> queries_;
};

} // namespace agatebank
