#include <agatebank/fleet/scheduled_job.hpp>

#include <algorithm>

namespace agatebank
{

bool any_task_may_have_run(const scheduled_job& job)
{
    const auto may_run = [](const scheduled_task& t)
    {
        return t.state == task_state::ordered || t.state == task_state::done ||
               t.state == task_state::lost;
    };
    return job.may_have_run ||
           std::any_of(job.steps.begin(), job.steps.end(),
                       [&may_run](const scheduled_step& s) {
                           return std::any_of(s.tasks.begin(), s.tasks.end(),
                                              may_run);
                       });
}

} // namespace agatebank
