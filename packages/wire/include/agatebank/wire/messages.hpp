#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/credit_allocator.hpp>
#include <agatebank/core/event.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/run_fate.hpp>
#include <agatebank/core/run_order.hpp>
#include <agatebank/core/submission_id.hpp>
#include <agatebank/core/target_load.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/wire/bounded_types.hpp>

#include <cstdint>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

/// @file
/// Messages between the processes of agatebank. Times are microseconds. A
/// time point on a process's clock means only something to that process.

namespace agatebank
{

constexpr uint32_t protocol_version = 1;

// Called by cereal in place of its own, which checks no range.
template <class Archive>
void load_minimal(const Archive&, target_state& state,
                  const std::underlying_type_t<target_state>& number)
{
    state = cereal::to_enumeration(number, target_state::stopped);
}

template <class Archive>
void load_minimal(const Archive&, event_kind& kind,
                  const std::underlying_type_t<event_kind>& number)
{
    kind = cereal::to_enumeration(number, event_kind::gather_ended);
}

template <class Archive>
void load_minimal(const Archive&, run_outcome& outcome,
                  const std::underlying_type_t<run_outcome>& number)
{
    outcome = cereal::to_enumeration(number, run_outcome::past_deadline);
}

// ----- any process -----

/// @brief Keeps a connection alive and carries what every peer may know.
struct heartbeat
{
    int64_t clock_us = 0; ///< sender's process clock
    int64_t echo_us = 0;  ///< last clock_us received from the peer
    int64_t held_us = 0;  ///< time since that was received
    config_version version;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(clock_us, echo_us, held_us, version);
    }
};

/// @brief What a process says of itself; first message on a connection.
struct process_identity
{
    uint32_t protocol = protocol_version;
    uint64_t incarnation = 0;
    std::string name;
    failure_domain_name failure_domain;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(protocol, incarnation, name, failure_domain);
    }
};

// ----- agent to entry -----

/// @brief State of the target beside an agent.
struct target_report
{
    target_name target;
    std::vector<service_name> services;
    uint32_t slots = 0;
    bool accepts_work = false; ///< false: leaving, draining, unannounced

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(target, services, slots, accepts_work);
    }
};

/// @brief First message of an agent on a connection.
struct agent_hello
{
    process_identity self;
    target_report target;
    int64_t clock_us = 0; ///< agent's process clock

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(self, target, clock_us);
    }
};

/// @brief How a start ended, or that it never will.
enum class report_kind : uint8_t
{
    answered,  ///< whole answer in body
    failed,    ///< ran, or may have run, and gave no whole answer
    timed_out, ///< no answer before the deadline; may have run
    not_run    ///< not started, and this agent never will start it
};

template <class Archive>
void load_minimal(const Archive&, report_kind& kind,
                  const std::underlying_type_t<report_kind>& number)
{
    kind = cereal::to_enumeration(number, report_kind::not_run);
}

/// @brief The final report of one start. Repeated until acknowledged.
struct start_report
{
    start_sequence sequence;
    report_kind kind = report_kind::not_run;
    int32_t error = 0;       ///< number of an errc, 0 when answered
    int64_t run_time_us = 0; ///< at the target
    std::string step;        ///< step that failed
    std::string body;        ///< the target's answer

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(sequence, kind, error, run_time_us, step, body);
    }
};

/// @brief Reports of starts, in one message to save bytes.
struct start_reports
{
    std::vector<start_report> reports;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(reports);
    }
};

/// @brief A task's report as held by an agent, for an entry that gathers the
/// answers of a lost entry.
struct held_report
{
    task_index task;
    uint32_t job_tasks = 0; ///< number of tasks of the job
    patience_name patience;
    price job_price; ///< promised for the whole job
    start_report report;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(task, job_tasks, patience, job_price, report);
    }
};

/// @brief What an agent holds of a submission. `running` counts starts that
/// have no report yet.
struct gather_reply
{
    uint64_t number = 0; ///< of the query
    std::vector<held_report> held;
    uint32_t running = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(number, held, running);
    }
};

// ----- entry to agent -----

/// @brief First message of an entry on a connection with an agent.
struct entry_hello
{
    process_identity self;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(self);
    }
};

/// @brief The entry's demand and the grant it acts on.
struct demand_update
{
    uint32_t queued = 0;
    uint32_t in_flight = 0;
    int64_t least_slack_us = 0;
    uint64_t grant_version = 0; ///< of the grant it acts on

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(queued, in_flight, least_slack_us, grant_version);
    }
};

/// @brief Asks an agent to start a task at most once. Sent again over a new
/// connection with the same sequence until it is reported.
struct start_order
{
    start_sequence sequence;
    agent_incarnation agent; ///< the only incarnation that may start it
    submission_id submission;
    task_index task;
    uint32_t job_tasks = 0;  ///< number of tasks of the job
    patience_name patience;  ///< kept for an entry that gathers
    price job_price;         ///< kept for an entry that gathers
    int64_t deadline_us = 0; ///< on the agent's process clock
    service_name service;
    bool idempotent = false;
    std::string payload;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(sequence, agent, submission, task, job_tasks, patience, job_price,
           deadline_us, service, idempotent, payload);
    }
};

/// @brief Starts, in one message to save bytes.
struct start_orders
{
    std::vector<start_order> orders;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(orders);
    }
};

/// @brief All reports below this sequence are settled: the agent drops them
/// and refuses any start below it.
struct acknowledgement
{
    start_sequence below;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(below);
    }
};

/// @brief Nobody waits for these starts any more. A start that has not begun
/// is fenced and reported not run; a running one is stopped if possible.
struct cancel_starts
{
    std::vector<start_sequence> sequences;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(sequences);
    }
};

/// @brief The part of the configuration that an agent enforces.
struct agent_configuration
{
    config_version version;
    bool in_inventory = false;
    target_state state = target_state::active;
    std::vector<service_name> services; ///< that the target may serve
    uint32_t slots = 0;                 ///< at most
    uint32_t queue_allowance = 0;       ///< starts beyond the slots

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(version, in_inventory, state, services, slots, queue_allowance);
    }
};

/// @brief Asks for all that an agent holds of a submission whose issuer is
/// lost; fences every start of it that has not begun.
struct gather_query
{
    uint64_t number = 0;
    submission_id submission;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(number, submission);
    }
};

// ----- entry to entry -----

/// @brief First message of an entry on a connection with another entry.
struct peer_hello
{
    process_identity self;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(self);
    }
};

/// @brief What the forwarded request asks of the issuer.
enum class forward_kind : uint8_t
{
    submit,
    show,
    cancel
};

template <class Archive>
void load_minimal(const Archive&, forward_kind& kind,
                  const std::underlying_type_t<forward_kind>& number)
{
    kind = cereal::to_enumeration(number, forward_kind::cancel);
}

/// @brief A caller's request on a submission that another entry issued.
struct forward_request
{
    uint64_t number = 0;
    forward_kind kind = forward_kind::show;
    submission_id submission;
    std::string submission_text;
    caller_name caller;
    int64_t wait_us = 0; ///< how long the caller waits for the answer
    std::string body;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(number, kind, submission, submission_text, caller, wait_us, body);
    }
};

/// @brief The issuer's response, passed on to the caller as it is.
struct forward_reply
{
    uint64_t number = 0;
    uint32_t status = 0;
    std::string content_type;
    std::string body;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(number, status, content_type, body);
    }
};

/// @brief Asks a peer for the configuration it has.
struct configuration_query
{
    template <class Archive>
    void serialize(Archive&)
    {
    }
};

/// @brief The whole configuration as JSON text.
struct configuration_document
{
    config_version version;
    std::string text;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(version, text);
    }
};

// ----- events -----

/// @brief Asks a process for the events it holds that match.
struct event_query
{
    uint64_t number = 0;
    event_filter filter;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(number, filter);
    }
};

/// @brief Events of one process.
struct event_reply
{
    uint64_t number = 0;
    std::vector<event> events;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(number, events);
    }
};

// ----- jobs placed by amounts of room -----

/// @brief First message of an agent that runs orders by room, and again when
/// its target begins a new life.
struct target_hello
{
    process_identity self;
    target_profile target;
    target_load load;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(self, target, load);
    }
};

/// @brief The load of an agent's target, after a change.
struct target_update
{
    target_load load;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(load);
    }
};

/// @brief Final reports of orders. A lost link reports all its orders lost,
/// so these are sent once.
struct run_ends
{
    std::vector<run_end> ends;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(ends);
    }
};

/// @brief Orders that their entry has no use for any more.
struct cancel_runs
{
    std::vector<order_id> orders;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(orders);
    }
};

/// @brief Where an entry accepts links.
struct entry_address
{
    std::string address; ///< IP number
    uint16_t port = 0;

    auto operator<=>(const entry_address&) const = default;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(address, port);
    }
};

/// @brief The entries that the sender knows of, itself included.
struct known_entries
{
    std::vector<entry_address> entries;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(entries);
    }
};

/// @brief Any message on a TCP connection. The order is part of the protocol.
using message =
    std::variant<heartbeat, agent_hello, target_report, slot_grant,
                 start_reports, gather_reply, entry_hello, demand_update,
                 start_orders, acknowledgement, cancel_starts,
                 agent_configuration, gather_query, peer_hello, forward_request,
                 forward_reply, configuration_query, configuration_document,
                 event_query, event_reply, target_hello, target_update,
                 run_batch, run_ends, cancel_runs, known_entries>;

/// @brief An entry's periodic datagram to the other entries. May be lost.
struct entry_announcement
{
    process_identity self;
    std::string address; ///< IP number for TCP from other entries
    uint16_t port = 0;
    config_version version;
    bool leaving = false;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(self, address, port, version, leaving);
    }
};

} // namespace agatebank
