#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/crash_report.hpp>
#include <agatebank/core/credit_allocator.hpp>
#include <agatebank/core/entry_record.hpp>
#include <agatebank/core/evacuation_state.hpp>
#include <agatebank/core/event.hpp>
#include <agatebank/core/execution_status.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/relay_messages.hpp>
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
/// Messages exchanged between agatebank processes. Times are in microseconds.
/// A time point is a reading of one process's monotonic clock and cannot be
/// compared with the clock of another process.

namespace agatebank
{

constexpr uint32_t protocol_version = 4;

// cereal calls these overloads instead of its generic one for enumerations,
// which does not check the range.
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
    outcome = cereal::to_enumeration(number, run_outcome::returned);
}

template <class Archive>
void load_minimal(const Archive&, relay_result& result,
                  const std::underlying_type_t<relay_result>& number)
{
    result = cereal::to_enumeration(number, relay_result::busy);
}

// Messages of any process

/// @brief Periodic message that keeps a connection alive. Carries clock
/// readings for measuring the round trip, and the sender's configuration
/// version.
struct heartbeat
{
    int64_t clock_us = 0; ///< sender's process clock at sending
    int64_t echo_us = 0;  ///< last clock_us received from the peer, 0 if none
    int64_t echo_delay_us = 0; ///< time from receiving it to sending this
    config_version version;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(clock_us, echo_us, echo_delay_us, version);
    }
};

/// @brief Identity of a process, part of its first message on a connection.
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

// Messages from an agent to an entry

/// @brief State of the target that an agent manages.
struct target_report
{
    target_name target;
    std::vector<service_name> services;
    uint32_t slots = 0;
    bool accepts_work = false; ///< false if leaving, draining or unannounced

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
    int64_t clock_us = 0; ///< agent's process clock at sending

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(self, target, clock_us);
    }
};

/// @brief Outcome of a start.
enum class report_kind : uint8_t
{
    answered,  ///< complete answer in `body`
    failed,    ///< ran, or may have run, without a complete answer
    timed_out, ///< no answer before the deadline; may have run
    not_run    ///< not started; this agent will never start it
};

template <class Archive>
void load_minimal(const Archive&, report_kind& kind,
                  const std::underlying_type_t<report_kind>& number)
{
    kind = cereal::to_enumeration(number, report_kind::not_run);
}

/// @brief Final report of one start. Sent again until it is acknowledged.
struct start_report
{
    start_sequence sequence;
    report_kind kind = report_kind::not_run;
    int32_t error = 0;       ///< value of an errc, 0 when answered
    int64_t run_time_us = 0; ///< execution time at the target
    std::string step;        ///< step that failed
    std::string body;        ///< the target's answer

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(sequence, kind, error, run_time_us, step, body);
    }
};

/// @brief Reports of several starts, batched to reduce overhead per message.
struct start_reports
{
    std::vector<start_report> reports;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(reports);
    }
};

/// @brief Report of a task as stored by an agent, for an entry that gathers
/// the answers to a lost entry's submission.
struct held_report
{
    task_index task;
    uint32_t job_tasks = 0; ///< number of tasks of the job
    patience_name patience;
    price job_price; ///< agreed for the whole job
    start_report report;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(task, job_tasks, patience, job_price, report);
    }
};

/// @brief An agent's answer to a @ref gather_query.
struct gather_reply
{
    uint64_t request_id = 0; ///< that of the query
    std::vector<held_report> held;
    uint32_t running = 0; ///< starts that have no report yet

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, held, running);
    }
};

// Messages from an entry to an agent

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

/// @brief An entry's demand for an agent's slots, and the grant it uses.
struct demand_update
{
    uint32_t queued = 0;
    uint32_t in_flight = 0;
    int64_t min_slack_us = 0;
    uint64_t grant_version = 0; ///< version of the @ref slot_grant in use

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(queued, in_flight, min_slack_us, grant_version);
    }
};

/// @brief Requests an agent to start a task at most once. Sent again over each
/// new connection, with the same sequence, until the start is reported.
struct start_order
{
    start_sequence sequence;
    agent_incarnation agent; ///< the only incarnation that may start it
    submission_id submission;
    task_index task;
    uint32_t job_tasks = 0;  ///< number of tasks of the job
    patience_name patience;  ///< stored for a @ref gather_reply
    price job_price;         ///< stored for a @ref gather_reply
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

/// @brief Several start orders, batched to reduce overhead per message.
struct start_orders
{
    std::vector<start_order> orders;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(orders);
    }
};

/// @brief All starts below first_unsettled are settled: the agent discards
/// their reports and refuses any further start below it.
struct acknowledgement
{
    start_sequence first_unsettled;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(first_unsettled);
    }
};

/// @brief Cancels starts whose results are no longer needed. A start that has
/// not begun is fenced, so that it never can begin, and reported as not run; a
/// running one is stopped if possible.
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
    std::vector<service_name> services; ///< services the target may serve
    uint32_t slots = 0;                 ///< upper limit
    uint32_t queue_allowance = 0;       ///< starts accepted beyond the slots

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(version, in_inventory, state, services, slots, queue_allowance);
    }
};

/// @brief Requests all that an agent has stored of a submission whose issuer
/// is lost, and fences every start of it that has not begun.
struct gather_query
{
    uint64_t request_id = 0;
    submission_id submission;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, submission);
    }
};

// Messages between entries

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

/// @brief Operation that a forwarded request asks the issuer to perform.
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

/// @brief A caller's request for a submission that another entry issued.
struct forward_request
{
    uint64_t request_id = 0;
    forward_kind kind = forward_kind::show;
    submission_id submission;
    std::string submission_text;
    caller_name caller;
    int64_t wait_us = 0; ///< time the caller waits for the answer
    std::string body;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, kind, submission, submission_text, caller, wait_us,
           body);
    }
};

/// @brief The issuer's response, returned to the caller unchanged.
struct forward_reply
{
    uint64_t request_id = 0;
    uint32_t status = 0;
    std::string content_type;
    std::string body;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, status, content_type, body);
    }
};

/// @brief Requests the configuration that the peer uses.
struct configuration_query
{
    template <class Archive>
    void serialize(Archive&)
    {
    }
};

/// @brief The complete configuration as JSON text.
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

// Messages about events

/// @brief Requests the recorded events of a process that match a filter.
struct event_query
{
    uint64_t request_id = 0;
    event_filter filter;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, filter);
    }
};

/// @brief A process's answer to an @ref event_query.
struct event_reply
{
    uint64_t request_id = 0;
    std::vector<event> events;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(request_id, events);
    }
};

// Messages for jobs that are placed by resources

/// @brief First message of an agent that runs orders by resources. Sent again
/// when the target's incarnation changes.
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

/// @brief Load of an agent's target, sent after a change.
struct target_update
{
    target_load load;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(load);
    }
};

/// @brief Final results of orders. Sent once: when the link closes, the entry
/// counts every open order on it as lost, so no repetition is needed.
struct order_results
{
    std::vector<order_result> results;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(results);
    }
};

/// @brief Cancels orders whose results the entry no longer needs.
struct cancel_orders
{
    std::vector<order_id> orders;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(orders);
    }
};

/// @brief Records of entries: all that the sender knows, as the first message
/// on a link, and later those that have changed.
struct roster_update
{
    std::vector<entry_record> records;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(records);
    }
};

/// @brief Tasks that were running at targets that crashed. An agent sends them
/// to its entries before the results of the orders; entries pass on what they
/// did not know, and begin a link with all that they remember.
struct crash_reports
{
    std::vector<crash_report> reports;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(reports);
    }
};

/// @brief The failure domains that operators have taken out of service. An
/// entry sends it as the first message on a link to an agent or an entry, and
/// when it learns a higher version.
struct evacuation_update
{
    evacuation_version version;
    std::vector<failure_domain_name> domains; ///< in ascending order

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(version, domains);
    }
};

inline evacuation_update to_evacuation_update(const evacuation_state& state)
{
    return {state.version(), {state.domains().begin(), state.domains().end()}};
}

inline evacuation_state to_evacuation_state(const evacuation_update& update)
{
    return {update.version, {update.domains.begin(), update.domains.end()}};
}

/// @brief How often an entry wants load reports from an agent. Sent after the
/// agent's greeting, and when the period has changed by a quarter.
struct report_request
{
    int64_t min_period_us = 0; ///< shortest time between two reports

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(min_period_us);
    }
};

/// @brief Any message on a TCP connection. The order of the alternatives is
/// part of the protocol.
using message =
    std::variant<heartbeat, agent_hello, target_report, slot_grant,
                 start_reports, gather_reply, entry_hello, demand_update,
                 start_orders, acknowledgement, cancel_starts,
                 agent_configuration, gather_query, peer_hello, forward_request,
                 forward_reply, configuration_query, configuration_document,
                 event_query, event_reply, target_hello, target_update,
                 run_batch, order_results, cancel_orders, roster_update,
                 crash_reports, entry_load, relayed_job, relayed_outcome,
                 relay_cancel, evacuation_update, report_request>;

/// @brief Returns whether a message starts or cancels runs. Handled late, it
/// would do so after others have acted on the silence of its sender.
inline bool carries_orders(const message& m) noexcept
{
    return std::holds_alternative<run_batch>(m) ||
           std::holds_alternative<cancel_orders>(m) ||
           std::holds_alternative<relayed_job>(m) ||
           std::holds_alternative<relay_cancel>(m) ||
           std::holds_alternative<start_orders>(m) ||
           std::holds_alternative<cancel_starts>(m);
}

/// @brief Datagram that an entry sends periodically to the other entries. May
/// be lost.
struct entry_announcement
{
    process_identity self;
    std::string address; ///< IP address for TCP from other entries
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
