#include <agatebank/fleet/arrival_hold.hpp>

namespace agatebank
{

namespace
{

/// Agents of machines that start together are discovered within a few hundred
/// milliseconds of each other; a longer silence means that all are known.
constexpr duration discovery_silence = std::chrono::milliseconds(400);

/// Ratio of the expected end to the run time from which a late job waits for
/// targets that are not crowded.
constexpr double crowded_finish_ratio = 1.5;

} // namespace

arrival_action decide_arrival(const arrival_hold_input& input)
{
    const bool on_time =
        input.servable && input.expected_finish <= input.objective;
    const bool discovering =
        input.since_start < input.discovery_window &&
        (!input.since_discovery || *input.since_discovery < discovery_silence);
    const bool crowded = static_cast<double>(input.expected_finish.count()) >
                         crowded_finish_ratio *
                             static_cast<double>(input.shortest_finish.count());
    if (input.servable && (on_time || !crowded || !discovering))
    {
        return arrival_action::place;
    }
    if (discovering && input.shortest_finish < input.latest_useful)
    {
        return arrival_action::hold;
    }
    return input.servable ? arrival_action::place : arrival_action::refuse;
}

} // namespace agatebank
