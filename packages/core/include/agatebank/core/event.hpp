#pragma once

#include <agatebank/core/hybrid_clock.hpp>
#include <agatebank/core/ids.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Type of an event. Processes exchange the numeric values, so their
/// order must not change.
enum class event_kind : uint8_t
{
    process_started,
    process_leaving,
    submission_issued,
    job_admitted,
    job_refused,
    job_settled,
    job_cancelled,
    request_forwarded,
    start_sent,
    start_sent_again,
    start_accepted,
    start_refused,
    run_began,
    run_ended,
    report_received,
    agent_connected,
    agent_lost,
    entry_connected,
    entry_lost,
    target_announced,
    target_withdrawn,
    target_ejected,
    target_probed,
    configuration_in_force,
    configuration_written,
    gather_began,
    gather_ended
};

/// @brief The name of a kind, such as "start_sent".
const char* to_word(event_kind kind) noexcept;

/// @brief One event of the timeline. Fields that do not apply are empty.
struct event
{
    hybrid_stamp stamp;
    event_kind kind = event_kind::process_started;
    std::string process;    ///< name of the process that recorded it
    std::string submission; ///< `<issuer>-<sequence>` in hexadecimal
    int32_t task = -1;      ///< index; -1 if for the whole job or no job
    std::string target;
    std::string peer;
    std::string detail;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(stamp, kind, process, submission, task, target, peer, detail);
    }
};

/// @brief Selects events by submission, target and time; an empty string
/// matches any value.
struct event_filter
{
    std::string submission;
    std::string target;
    uint64_t from_us = 0;        ///< wall clock in microseconds, inclusive
    uint64_t to_us = UINT64_MAX; ///< wall clock in microseconds, inclusive
    uint32_t max_events = 10000; ///< the latest ones are selected

    /// @brief Whether an event is selected; ignores max_events.
    bool matches(const event& e) const;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(submission, target, from_us, to_us, max_events);
    }
};

/// @brief The latest events of one process, in a buffer of fixed capacity.
class event_ring
{
  public:
    // construction
    /// @param process process name, set on each event
    /// @param capacity number of events kept, at least 1
    event_ring(hybrid_clock& clock, std::string process, std::size_t capacity);

    // modifiers
    /// @brief Sets time stamp and process of an event and stores it. Drops the
    /// oldest event if the buffer is full. @complexity constant
    void record(event e);

    // lookup
    /// @brief The latest max_events events that match, oldest first.
    std::vector<event> select(const event_filter& filter) const;

  private:
    hybrid_clock& clock_;
    std::string process_;
    std::size_t capacity_;
    std::deque<event> events_;
};

} // namespace agatebank
