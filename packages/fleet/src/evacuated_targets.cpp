#include <agatebank/fleet/evacuated_targets.hpp>

#include <algorithm>

namespace agatebank
{

bool evacuated_targets::merge(const evacuation_state& state,
                              target_map& targets)
{
    if (!state_.merge(state))
    {
        return false;
    }
    for (auto& [agent, target] : targets)
    {
        mark(target);
    }
    return true;
}

void evacuated_targets::mark(target_load_tracker& target) const
{
    target.set_evacuated(state_.is_evacuated(target.profile().failure_domain));
}

const evacuation_state& evacuated_targets::state() const noexcept
{
    return state_;
}

bool evacuated_targets::leave_no_target(const target_map& targets,
                                        const service_name& service,
                                        const step_plan& step) const
{
    bool any_evacuated = false;
    for (const auto& [agent, target] : targets)
    {
        const auto& p = target.profile();
        if (p.service != service || !p.capacity.can_fit(step.task_resources) ||
            (!step.required_label.empty() &&
             !target.has_label(step.required_label)))
        {
            continue;
        }
        if (!target.is_evacuated())
        {
            return false;
        }
        any_evacuated = true;
    }
    return any_evacuated;
}

std::size_t count_evacuated(const target_map& targets)
{
    return static_cast<std::size_t>(
        std::count_if(targets.begin(), targets.end(),
                      [](const auto& t) { return t.second.is_evacuated(); }));
}

} // namespace agatebank
