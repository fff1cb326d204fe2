#pragma once

#include <agatebank/core/hybrid_clock.hpp>
#include <agatebank/core/log.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/loop/timer_queue.hpp>
#include <agatebank/wire/authenticator.hpp>
#include <agatebank/wire/endpoint_dialer.hpp>
#include <agatebank/wire/messages.hpp>
#include <agatebank/wire/tcp_link.hpp>

#include <functional>

namespace agatebank
{

/// @brief Receives what a node measures of its process.
struct node_observer
{
    /// time by which the node's periodic timer was late
    std::function<void(duration)> on_loop_lag = [](duration) {
    };
    /// a phase of the start is complete; also called again later
    std::function<void(const char*)> on_phase = [](const char*) {
    };
};

/// Phases of the start of a node, see node_observer.
constexpr const char* phase_settings = "settings";   ///< read and valid
constexpr const char* phase_listening = "listening"; ///< on all ports
constexpr const char* phase_configuration = "configuration";
constexpr const char* phase_link = "link"; ///< first link to an entry or agent
/// entry: first greeting of an agent, with its target; agent: first one sent
constexpr const char* phase_greeting = "greeting";
/// agent: the target has announced itself
constexpr const char* phase_announcement = "announcement";
/// entry: first load of a target that accepts work; agent: first lease answer
constexpr const char* phase_target = "target";
constexpr const char* phase_ready = "ready"; ///< entry: for callers
constexpr const char* phase_order = "order"; ///< first sent or received
/// entry: the first job succeeded and is answered
constexpr const char* phase_answer = "answer";
constexpr const char* phase_run = "run"; ///< agent: the target started a task

/// @brief Services and identity that a process supplies to its entry or agent
/// node. The references must outlive the node.
struct node_context
{
    event_loop& loop;
    timer_queue& timers;
    hybrid_clock& clock;
    const authenticator& auth;
    log_sink log;
    random_source random;
    process_identity self;
    node_observer observer;
};

/// @brief Heartbeat period and silence timeout of the links between entries and
/// agents. An agent stops an entry's runs after the silence timeout. A caller
/// that submits its job again 1.3 s after its connection broke relies on those
/// runs having been stopped by then.
inline link_options node_link_options()
{
    link_options options;
    options.heartbeat_period = std::chrono::milliseconds(200);
    options.silence_timeout = std::chrono::milliseconds(800);
    options.heartbeat_only_when_idle = true;
    return options;
}

/// @brief Longest back-off between two attempts to dial a process.
constexpr duration longest_dial_delay = std::chrono::milliseconds(600);

/// @brief Number of entries that an agent keeps links to. Each entry is then
/// linked to this many agents for each agent there is, divided by the entries.
constexpr std::size_t agent_link_count = 8;
/// @brief Number of entries that an entry dials. Changes of the roster and of
/// the configuration reach all entries over these links in a few steps.
constexpr std::size_t entry_link_count = 6;

/// @brief A log record that belongs to no request.
inline log_record to_line(log_level level, std::string text, std::string step,
                          std::string peer = {})
{
    log_record record;
    record.level = level;
    record.text = std::move(text);
    record.step = std::move(step);
    record.peer = std::move(peer);
    return record;
}

} // namespace agatebank
