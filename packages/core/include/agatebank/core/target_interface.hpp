#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/core/strong_id.hpp>
#include <agatebank/core/target_load.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The interface between an agent and its target. A target runs tasks under a
/// lease that the agent extends, and lists its active runs and its ended runs.

namespace agatebank
{

/// @brief Time on the target's own clock, in milliseconds.
using target_time = strong_id<struct target_time_tag, int64_t>;

/// @brief Position of a run in a target's list of ended runs.
using end_position = strong_id<struct end_position_tag, uint64_t>;

/// @brief Identifies a run at its target. Later runs of a task have higher
/// numbers.
struct run_id
{
    std::string task;
    uint32_t run = 0;

    auto operator<=>(const run_id&) const = default;
};

/// @brief A target's announcement of its properties and state.
struct target_announcement
{
    target_profile profile;
    uint64_t sequence = 0; ///< increases within one incarnation
    bool draining = false;
    duration cold_remaining{}; ///< 0: the target is warm
};

/// @brief Asks a target to start a run.
struct start_request
{
    run_id id;
    std::string payload;
    target_time start_before; ///< after it, the target refuses the request
};

/// @brief A target's answer to a start request.
enum class start_answer : uint8_t
{
    accepted,
    no_capacity,
    superseded, ///< the target has had this run or a later one of the task
    expired,    ///< the request arrived too late
    fenced,     ///< another agent controls the target
    refused,    ///< rejected without any effect
    unknown     ///< no answer; the run may have started or may start later
};

/// @brief Whether copies of a start call may still be carried out, by the
/// target or by its next incarnation under the same id, which knows neither the
/// run nor the fencing token.
enum class start_copies : uint8_t
{
    settled,    ///< each copy was answered or can't have been received
    unanswered, ///< none is under way; one that may have been received failed
    under_way   ///< one was sent and has neither been answered nor failed
};

/// @brief State of the copies of a start call.
struct start_call_state
{
    start_copies copies = start_copies::settled;
    /// when that became so; the clock's zero for a call that was not repeated
    time_point since;
};

/// @brief An element of a target's list of active runs.
struct active_run
{
    run_id id;
    int percent = 0; ///< of its work completed
};

/// @brief Status of an ended run as reported by its target.
enum class ended_run_status : uint8_t
{
    done,
    failed,
    stopped ///< by a stop request, by the end of its lease or with its gang
};

/// @brief An element of a target's list of ended runs.
struct ended_run
{
    end_position position;
    run_id id;
    ended_run_status status = ended_run_status::stopped;
};

/// @brief Extends the lease of all runs and requests the lists of runs.
struct lease_request
{
    std::optional<target_time> lease_until; ///< absent: not extended
    end_position last_end_seen; ///< ended runs up to it are not listed again
    duration wait{}; ///< longest wait for a run to end if none has ended
    duration expected_end{}; ///< time until the next run is expected to end;
                             ///< at most the wait
};

/// @brief A target's answer to a lease request, with its lists of runs.
struct lease_answer
{
    target_incarnation incarnation;
    target_time clock;
    std::vector<active_run> running;
    std::vector<ended_run> ended;
};

/// @brief Reason why a lease could not be extended.
enum class lease_error : uint8_t
{
    no_answer,    ///< the target may be running
    unreachable,  ///< a connection was refused; the target has ended or is
                  ///< cut off
    fenced,       ///< another agent controls the target
    wrong_target, ///< another target than the expected one answered
    refused       ///< rejected without any effect
};

/// @brief A failed lease extension.
struct lease_failure
{
    lease_error error = lease_error::no_answer;
    failure reason;
};

/// @brief The calls to one target. The completion handler of each call is
/// invoked once.
struct target_interface
{
    std::function<void(const start_request&, std::function<void(start_answer)>)>
        start;
    /// tells of the copies of a run's start call; if empty, no call is repeated
    std::function<start_call_state(const run_id&)> copies_of_start;
    /// the argument of the handler is whether the target accepted the stop
    std::function<void(const run_id&, std::function<void(bool)>)> stop;
    std::function<void(
        const lease_request&,
        std::function<void(tl::expected<lease_answer, lease_failure>)>)>
        extend_lease;
    /// sets the id and the incarnation of the target that later calls are meant
    /// for, and the fencing token that they carry. Another incarnation receives
    /// no start, stop or lease; its lists are returned when a lease is
    /// requested.
    std::function<void(const std::string& target,
                       target_incarnation incarnation, uint64_t fencing_token)>
        set_target;
};

} // namespace agatebank
