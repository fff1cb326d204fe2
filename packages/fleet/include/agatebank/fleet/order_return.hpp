#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/fleet/placement.hpp>

#include <cstdint>
#include <optional>

namespace agatebank
{

/// @brief Which reasons for the return of queued orders are in use.
struct order_return_options
{
    bool early = true;   ///< orders that would end after their objective
    bool useless = true; ///< orders whose answer would be useless
};

/// @brief Time before the deadline, or before the end of its use, at which an
/// order must be expected to end, so that its report reaches the caller.
constexpr duration report_delivery_time = std::chrono::milliseconds(10);

/// @brief The expectations about an order in an agent's queue. Times are
/// relative to now.
struct queued_order_input
{
    duration wait{}; ///< until its start
    duration run{};  ///< with the target's slowdown
    duration to_objective{};
    duration to_useful_end{};
    duration to_deadline{};
    bool keep = false; ///< not to be returned only for being late
};

/// @brief What an agent does with an order that has to wait.
enum class order_fate : uint8_t
{
    wait,
    return_late,  ///< return it: it may be on time at another target
    drop_useless, ///< return it: its answer would be useless
    past_deadline ///< return it: it would end after its deadline
};

/// @brief Decides whether an order waits in the queue of an agent or is
/// returned to its entry.
///
/// Load pattern: short tasks wait behind long ones on a target that was free
/// in the last load report, while other targets are free. An order is returned
/// as late only if it exceeds its objective by more than a move takes, and if
/// it could still be on time after the move.
order_fate decide_queued_order(const queued_order_input& input,
                               const order_return_options& options);

/// @brief The return of a task's order by an agent.
struct order_return
{
    agent_incarnation agent;
    duration wait{}; ///< until the order would have started there
};

/// @brief Chooses the target for a task that one agent has returned.
/// @param usual the choice if no agent had returned the task
/// @return another target than that of the agent if the task is on time there;
/// otherwise the one with the earlier end
std::optional<placement_choice>
choose_after_return(const target_map& targets, placement_request request,
                    const speed_lookup& speed, const order_return& returned,
                    const std::optional<placement_choice>& usual,
                    time_point now);

} // namespace agatebank
