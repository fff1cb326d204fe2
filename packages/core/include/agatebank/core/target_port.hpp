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
/// The port between an agent and its target. A target runs tasks under a
/// lease that the agent extends, and lists what runs and what has ended.

namespace agatebank
{

/// @brief A time on a target's own clock, in milliseconds.
using target_time = strong_id<struct target_time_tag, int64_t>;

/// @brief Position of an end in a target's list of ends.
using end_position = strong_id<struct end_position_tag, uint64_t>;

/// @brief A run as its target names it: a task's later runs have higher
/// numbers.
struct run_name
{
    std::string task;
    uint32_t run = 0;

    auto operator<=>(const run_name&) const = default;
};

/// @brief What a target says of itself.
struct target_announcement
{
    target_profile profile;
    uint64_t sequence = 0; ///< rises in one life
    bool draining = false;
};

/// @brief Asks a target to start a run.
struct start_request
{
    run_name name;
    std::string payload;
    target_time start_before; ///< later it is refused
};

/// @brief What a target answered to a start.
enum class start_answer : uint8_t
{
    accepted,
    no_room,
    superseded, ///< as high a run of this task has been here
    expired,    ///< it reached the target too late
    fenced,     ///< another agent holds the target
    refused,    ///< nothing was done
    unknown     ///< no answer; it may be carried out, also later
};

/// @brief A run in a target's list of what runs.
struct listed_run
{
    run_name name;
    int percent = 0; ///< of its work that is done
};

/// @brief How a target says that a run ended.
enum class listed_how : uint8_t
{
    done,
    failed,
    stopped ///< by a stop, by its lease's end or with its gang
};

/// @brief A run in a target's list of ends.
struct listed_end
{
    end_position position;
    run_name name;
    listed_how how = listed_how::stopped;
};

/// @brief Extends the lease of all runs and asks for the lists.
struct lease_request
{
    std::optional<target_time> lease_until; ///< absent: not extended
    end_position seen;       ///< ends up to it need not be listed again
    duration wait{};         ///< for an end, when there is none yet
    duration expected_end{}; ///< of the next run, from now; at most the wait
};

/// @brief The lists of a target.
struct lease_answer
{
    target_life life;
    target_time clock;
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
};

/// @brief Why a lease could not be extended.
enum class lease_trouble : uint8_t
{
    no_answer,  ///< the target may be alive
    gone,       ///< nothing listens there
    fenced,     ///< another agent holds the target
    other_life, ///< the target there isn't the expected one
    refused     ///< nothing was done
};

/// @brief A failed extension.
struct lease_failure
{
    lease_trouble trouble = lease_trouble::no_answer;
    failure reason;
};

/// @brief The calls to one target. A call's completion runs once.
struct target_port
{
    std::function<void(const start_request&, std::function<void(start_answer)>)>
        start;
    /// the argument tells whether the target has taken the stop
    std::function<void(const run_name&, std::function<void(bool)>)> stop;
    std::function<void(
        const lease_request&,
        std::function<void(tl::expected<lease_answer, lease_failure>)>)>
        extend_lease;
    /// the life that later calls are meant for, and the fencing token
    std::function<void(const std::string& target, uint64_t fencing_token)>
        set_peer;
};

} // namespace agatebank
