#pragma once

#include <agatebank/core/hybrid_clock.hpp>
#include <agatebank/core/ids.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief What happened. The numbers travel between processes.
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

/// @brief The word of a kind, such as "start_sent".
const char* to_word(event_kind kind) noexcept;

/// @brief One event of the time line. Empty fields do not apply.
struct event
{
    hybrid_stamp stamp;
    event_kind kind = event_kind::process_started;
    std::string process;    ///< name of the process that recorded it
    std::string submission; ///< `<issuer>-<sequence>` in hexadecimal
    int32_t task = -1;      ///< index, -1: the whole job or none
    std::string target;
    std::string peer;
    std::string detail;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(stamp, kind, process, submission, task, target, peer, detail);
    }
};

/// @brief Selects events; an empty field selects all.
struct event_filter
{
    std::string submission;
    std::string target;
    uint64_t from_us = 0;
    uint64_t to_us = UINT64_MAX;
    uint32_t max_events = 10000;

    bool matches(const event& e) const;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(submission, target, from_us, to_us, max_events);
    }
};

/// @brief Bounded ring of the latest events of one process.
class event_ring
{
  public:
    // construction
    /// @param process name put on each event
    /// @param capacity number of events kept
    event_ring(hybrid_clock& clock, std::string process, std::size_t capacity);

    // modifiers
    /// @brief Stamps and stores an event. @complexity constant
    void record(event e);

    // lookup
    /// @brief The latest events that match, oldest first.
    std::vector<event> select(const event_filter& filter) const;

  private:
    hybrid_clock& clock_;
    std::string process_;
    std::size_t capacity_;
    std::deque<event> events_;
};

} // namespace agatebank
