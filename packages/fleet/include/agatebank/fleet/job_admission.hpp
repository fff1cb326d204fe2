#pragma once

#include <agatebank/core/units.hpp>

namespace agatebank
{

/// @brief What admission knows of a job at its arrival; times from now.
struct admission_question
{
    bool has_target = false;    ///< some target may run each of its tasks
    duration expected_finish{}; ///< over all steps, queues included
    duration objective{};       ///< the time until which an end is on time
    duration latest{}; ///< past it an answer is of no use to the caller
};

/// @brief The answer of admission.
struct admission_answer
{
    bool admitted = false;
    duration retry_after{}; ///< with a refusal: when the backlog has drained
};

/// @brief Refuses at once what cannot end while it is of use.
///
/// Load pattern: a burst beyond the targets' capacity. A job that would wait
/// until its deadline and then run out of it takes a caller's time for
/// nothing and room from jobs that would end in time.
admission_answer decide_admission(const admission_question& question);

} // namespace agatebank
