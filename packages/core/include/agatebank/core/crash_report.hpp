#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/route_table.hpp>
#include <agatebank/core/strong_id.hpp>

#include <cstdint>
#include <string>

namespace agatebank
{

/// @brief Number of a loss of the target among those that one agent incarnation
/// has seen.
using loss_number = strong_id<struct loss_number_tag, uint64_t>;

/// @brief Identifies the loss of a target.
struct target_loss_id
{
    agent_incarnation agent;
    loss_number number;

    auto operator<=>(const target_loss_id&) const = default;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(agent, number);
    }
};

/// @brief Identifies a task by the caller's job id, for which it stays the same
/// when the job is submitted again.
struct task_position
{
    std::string job;
    uint32_t step = 0;
    uint32_t index = 0; ///< within the step

    auto operator<=>(const task_position&) const = default;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(job, step, index);
    }
};

/// @brief States that a task was running at a target that crashed or went
/// silent, or that its start was not answered before. The same report may be
/// received several times.
struct crash_report
{
    task_position task;
    route_name route;     ///< of the job
    service_name service; ///< of the target
    target_loss_id loss;
    bool isolated = false;  ///< no other task was running there
    bool confirmed = false; ///< the task had started, and the target crashed
    /// of the tasks that were there, or at about the same time as the last one
    bool started_last = false;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(task, route, service, loss, isolated, confirmed, started_last);
    }
};

} // namespace agatebank
