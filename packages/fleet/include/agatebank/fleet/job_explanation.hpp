#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/fleet/job_admission.hpp>
#include <agatebank/fleet/placement_explanation.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace agatebank
{

/// Limits that bound the size of an explanation at any number of targets and
/// tasks.
constexpr std::size_t max_explained_tasks = 20;
constexpr std::size_t max_passed_over_targets = 5;

/// @brief What an entry would do with a job now.
enum class job_verdict : uint8_t
{
    admitted,
    held,       ///< until further targets are discovered after the start
    running,    ///< a job with its id runs; a submission attaches to it
    no_target,  ///< not every task has a suitable target
    evacuated,  ///< all targets that fit a task are in evacuated domains
    probation,  ///< its route is on probation, all probation targets are taken
    useless,    ///< its answer would be too late to be useful
    shed,       ///< it would be late while the service is overloaded
    known_crash ///< targets were lost to its tasks when it was submitted before
};

/// @brief Returns the verdict as one word with underscores.
const char* to_word(job_verdict verdict);

/// @brief Where a task that can start now would run, and why.
struct explained_task
{
    uint32_t step = 0;
    uint32_t index = 0;
    bool isolated = false; ///< runs alone, on a probation target
    /// chosen is not set if no target may run the task now
    placement_explanation placement;
};

/// @brief What an entry would do with a job now, and why. Times are relative to
/// now.
struct job_explanation
{
    job_verdict verdict = job_verdict::admitted;
    std::string reason;
    duration retry_after{}; ///< if refused
    /// the expectations that decided; nothing if the decision needs none.
    /// Without a target for each task the expected end has no meaning.
    std::optional<admission_input> admission;
    /// one task starts alone, as the route is on probation
    bool first_task_alone = false;
    /// at most max_explained_tasks, each with at most max_passed_over_targets
    std::vector<explained_task> tasks;
    std::size_t startable_tasks = 0; ///< tasks that can start now
    std::size_t unplaced_tasks = 0;  ///< of these, without a target
    std::size_t later_tasks = 0;     ///< tasks that wait for others to end
    std::size_t known_targets = 0;
    std::size_t evacuated_targets = 0; ///< of these
};

} // namespace agatebank
