#pragma once

#include "simulated_process.hpp"
#include <agatebank/fleet/scheduled_job.hpp>

#include <chrono>
#include <string>

namespace agatebank
{

/// @brief A caller and its job, which it may submit several times.
struct simulated_caller
{
    int submissions = 0;
    bool answered = false;
    job_submission job;
};

/// @brief A submission of a job.
struct simulated_request
{
    std::size_t caller = 0;
    std::size_t entry = 0;
    bool read = false;
    bool left = false;
    bool answered = false;
};

/// @brief Returns a job of one or two tasks, with a deadline of some seconds.
inline job_submission random_job(random_choice& random, std::size_t number)
{
    using ms = std::chrono::milliseconds;
    job_submission out;
    out.id = "j" + std::to_string(number + 1);
    out.matched_route.service = service_name("desk");
    out.matched_route.max_attempts = 3;
    out.matched_route.stretch = 1.6;
    step_plan s;
    s.tasks = static_cast<uint32_t>(1 + random.below(2));
    s.task_resources = {1000, 10, 0};
    s.declared_run_time = random.between(ms(500), ms(1500));
    out.plan.steps = {s};
    out.deadline = random.between(ms(3000), ms(8000));
    return out;
}

} // namespace agatebank
