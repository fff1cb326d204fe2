#pragma once

#include <agatebank/core/room.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Tasks of a job that are alike and start together.
struct step_plan
{
    uint32_t tasks = 1;
    room each;                    ///< needed by each task
    duration declared_run_time{}; ///< a hint, often far off
    std::vector<uint32_t> after;  ///< earlier steps that must be complete
    std::string required_label;   ///< of the target, empty: any
    std::string data_rack;        ///< where the data is, empty: anywhere
    uint32_t max_per_target = 0;  ///< tasks on one target, 0: any number
};

/// @brief The work of a job: what its tasks run and in which order.
struct job_plan
{
    std::string payload; ///< passed to each task as it is
    std::vector<step_plan> steps;

    /// @brief Tasks of all steps.
    uint32_t task_count() const noexcept
    {
        uint32_t n = 0;
        for (const auto& it : steps)
        {
            n += it.tasks;
        }
        return n;
    }
};

} // namespace agatebank
