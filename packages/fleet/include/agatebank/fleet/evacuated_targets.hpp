#pragma once

#include <agatebank/core/evacuation_state.hpp>
#include <agatebank/core/job_plan.hpp>
#include <agatebank/fleet/target_load_tracker.hpp>

#include <cstddef>

namespace agatebank
{

/// @brief Decides which targets of an entry get no work because their failure
/// domain is evacuated.
///
/// Load pattern: a failure domain, that is a third or a quarter of the
/// capacity, leaves service under load and returns later.
class evacuated_targets
{
  public:
    // modifiers
    /// @brief Applies a state to all targets if its version is higher.
    /// @return whether it was applied
    bool merge(const evacuation_state& state, target_map& targets);
    /// @brief Applies the state in force to a target that has just connected.
    void mark(target_load_tracker& target) const;

    // lookup
    const evacuation_state& state() const noexcept;
    /// @brief Returns whether evacuated domains are the reason that no target
    /// can run a step: all targets that are suitable by service, capacity and
    /// label are in such domains. A task that waits for one would wait until
    /// its deadline.
    bool leave_no_target(const target_map& targets, const service_name& service,
                         const step_plan& step) const;

  private:
    evacuation_state state_;
};

/// @brief Returns the number of targets in evacuated domains.
std::size_t count_evacuated(const target_map& targets);

} // namespace agatebank
