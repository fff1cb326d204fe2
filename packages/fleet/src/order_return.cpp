#include <agatebank/fleet/order_return.hpp>

#include <algorithm>

namespace agatebank
{

namespace
{

/// Time that a move to another target takes: the report of the return, the new
/// order, and the start there.
constexpr duration move_time = std::chrono::milliseconds(25);

} // namespace

order_fate decide_queued_order(const queued_order_input& input,
                               const order_return_options& options)
{
    const auto end = input.wait + input.run;
    if (end + report_delivery_time > input.to_deadline)
    {
        return order_fate::past_deadline;
    }
    if (options.useless && end + report_delivery_time > input.to_useful_end)
    {
        return order_fate::drop_useless;
    }
    const bool clearly_late = end > input.to_objective + move_time;
    const bool worth_a_move = input.run + move_time <= input.to_objective;
    return options.early && !input.keep && clearly_late && worth_a_move
               ? order_fate::return_late
               : order_fate::wait;
}

std::optional<placement_choice>
choose_after_return(const target_map& targets, placement_request request,
                    const speed_lookup& speed, const order_return& returned,
                    const std::optional<placement_choice>& usual,
                    time_point now)
{
    if (!usual || usual->agent != returned.agent)
    {
        return usual;
    }
    std::set<agent_incarnation> excluded{returned.agent};
    if (request.excluded != nullptr)
    {
        excluded.insert(request.excluded->begin(), request.excluded->end());
    }
    request.excluded = &excluded;
    const auto other = choose_target(targets, request, speed, now);
    auto same = *usual;
    same.finish = std::max(same.finish, returned.wait + same.run_time);
    return other && (other->on_time || other->finish < same.finish) ? *other
                                                                    : same;
}

} // namespace agatebank
