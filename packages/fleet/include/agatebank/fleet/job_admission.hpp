#pragma once

#include <agatebank/core/units.hpp>

namespace agatebank
{

/// @brief The expectations about a job that decide its admission. Times are
/// relative to now.
struct admission_input
{
    bool has_target = false;    ///< each of its tasks has a target
    duration expected_finish{}; ///< end of all steps, with queueing
    duration objective{};       ///< until then an end is on time
    duration latest_useful{}; ///< until then an answer is useful to the caller
};

/// @brief The admission decision.
struct admission_decision
{
    bool admitted = false;
    duration retry_after{}; ///< if refused: until the backlog is processed
};

/// @brief Refuses a job that is expected to finish too late to be useful, or
/// that has no suitable target.
///
/// Load pattern: a burst that exceeds the capacity of the targets. A job that
/// waits in a queue until its deadline wastes its caller's time, and takes
/// resources from jobs that could finish in time.
admission_decision decide_admission(const admission_input& input);

} // namespace agatebank
