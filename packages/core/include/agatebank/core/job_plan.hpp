#pragma once

#include <agatebank/core/resources.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A step of a job: equal tasks that become ready together.
struct step_plan
{
    uint32_t tasks = 1;
    resources task_resources;     ///< resources needed by each task
    duration declared_run_time{}; ///< a hint, often inaccurate
    std::vector<uint32_t> after;  ///< earlier steps that must be complete
    std::string required_label;   ///< of the target; empty: any target
    std::string data_rack;        ///< rack of the data; empty: any rack
    uint32_t max_per_target = 0;  ///< tasks on one target; 0: no limit
};

/// @brief The steps of a job, their dependencies and the payload of its tasks.
struct job_plan
{
    std::string payload; ///< passed to each task unchanged
    std::vector<step_plan> steps;

    /// @brief Number of tasks of all steps.
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
