#pragma once

#include <agatebank/core/dispatcher.hpp>
#include <agatebank/core/event.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/loop/timer_queue.hpp>
#include <agatebank/wire/link_hub.hpp>
#include <agatebank/wire/messages.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatebank
{

/// @brief The state of an agent, as last reported to this entry.
struct agent_record
{
    process_identity self;
    target_report target;
    link_id link; ///< 0 while not connected
    config_version version;
    slot_grant grant;
    bool lost = false; ///< its starts were discarded, outcomes unknown

    bool connected() const noexcept
    {
        return link != link_id();
    }
};

/// @brief Handlers that the directory calls.
struct agent_handlers
{
    /// the agent has connected, or its target's state has changed
    std::function<void(agent_incarnation)> on_target_changed;
    /// the connection was closed; the agent may reconnect
    std::function<void(agent_incarnation)> on_disconnected;
    /// the agent is lost: a new incarnation replaced it, or it did not
    /// reconnect within the loss timeout; the outcome of its starts is unknown
    std::function<void(agent_incarnation)> on_lost;
    /// credits: starts that may be unanswered at the agent
    std::function<void(agent_incarnation, uint32_t credits)> on_grant;
    /// first report of a start; repeated reports are not passed on
    std::function<void(agent_incarnation, task_ref, const start_report&)>
        on_report;
    std::function<void(agent_incarnation, const gather_reply&)> on_gather_reply;
    std::function<void(agent_incarnation, const event_reply&)> on_event_reply;
};

/// @brief Identifies a start of a task at an agent.
struct start_ref
{
    agent_incarnation agent;
    start_sequence sequence;
};

/// @brief The agents that this entry has been connected to, and the starts sent
/// to each.
///
/// The starts sent to one agent incarnation are numbered in sequence. An
/// unreported start is sent again on each new connection with the same
/// incarnation; the agent starts it at most once. A reported start is
/// retained until it is released. The lowest retained sequence number is
/// acknowledged to the agent, which drops its reports below it and refuses
/// starts below it.
class agent_directory
{
  public:
    // construction
    /// @param self sent to each agent on connection
    /// @param loss_timeout time without a connection after which an agent is
    /// lost
    agent_directory(event_loop& loop, timer_queue& timers, link_hub& hub,
                    event_ring& events, process_identity self,
                    duration loss_timeout);

    void set_handlers(agent_handlers handlers);

    // links
    /// @brief Registers the agent that connected on a link.
    void on_hello(link_id link, const agent_hello& hello);
    /// @brief Processes a message from an agent; a message on another link
    /// is ignored.
    void on_message(link_id link, const message& m);
    void on_heartbeat(link_id link, const heartbeat& beat);
    /// @return whether the link belonged to an agent
    bool on_closed(link_id link);
    bool is_agent(link_id link) const;

    // starts
    /// @brief Queues a start until @ref flush.
    /// @param order its sequence, agent and deadline are set here
    start_ref start(const assignment& a, start_order order);
    /// @brief Sends the queued starts, in one message per agent.
    void flush();
    /// @brief Sends the agents a cancellation of these starts.
    void cancel(const std::vector<start_ref>& starts);
    /// @brief Drops a start of a settled job; an unreported one is dropped
    /// when it is reported, as it uses a credit until then.
    void release(const start_ref& start);

    // modifiers
    void send(agent_incarnation agent, const message& m);
    void send_all(const message& m);

    // lookup
    const agent_record* find(agent_incarnation agent) const;
    std::vector<agent_incarnation> connected() const;
    /// @brief The agents that are not lost, connected or not.
    std::vector<agent_incarnation> agents_not_lost() const;
    /// @brief Half the round-trip time; zero while not connected.
    duration one_way_delay(agent_incarnation agent) const;
    /// @brief Number of retained starts, over all agents.
    std::size_t retained_starts() const;
    /// @brief Number of starts sent to one agent that have no report yet.
    std::size_t unreported_starts(agent_incarnation agent) const;

  private:
    struct retained_start
    {
        task_ref task;
        start_order order; ///< payload cleared once reported
        bool reported = false;
        bool released = false; ///< to be dropped once reported
    };
    struct agent_state : agent_record
    {
        uint64_t last_sequence = 0;
        std::map<start_sequence, retained_start> starts;
        std::vector<start_order> outbox;
        start_sequence acknowledged;
        bool acknowledgement_pending = false;
        timer_id loss_timer;
    };

    agent_state* find_by_link(link_id link);
    void mark_previous_lost(const agent_hello& hello);
    void mark_lost(agent_incarnation agent);
    void process_reports(agent_state& agent, const start_reports& m);
    void apply_grant(agent_state& agent, const slot_grant& grant);
    void resend_unreported(agent_state& agent);
    void schedule_acknowledgement(agent_state& agent);
    void acknowledge(agent_incarnation agent);
    int64_t agent_deadline_us(const agent_state& agent,
                              time_point deadline) const;
    void record(event_kind kind, const agent_state& agent,
                const start_order* order = nullptr,
                const std::string& detail = {});

    event_loop& loop_;
    timer_queue& timers_;
    link_hub& hub_;
    event_ring& events_;
    process_identity self_;
    duration loss_timeout_;
    agent_handlers handlers_;
    std::map<agent_incarnation, agent_state> agents_;
    std::unordered_map<link_id, agent_incarnation> links_;
    std::vector<agent_incarnation> agents_with_outbox_;
};

} // namespace agatebank
