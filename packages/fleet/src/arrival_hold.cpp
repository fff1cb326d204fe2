#include <agatebank/fleet/arrival_hold.hpp>

#include <algorithm>

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

/// From the start of an entry until its configuration is expected: two reads
/// that are answered late or lost.
constexpr duration configuration_window = std::chrono::milliseconds(900);

/// A job with the shortest objectives, about 140 ms, is useless 420 ms after
/// its arrival, and needs some of this time to run.
constexpr duration longest_configuration_hold = std::chrono::milliseconds(300);

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

duration configuration_hold_time(duration since_start,
                                 duration discovery_window,
                                 std::optional<duration> deadline)
{
    const auto window = std::min(configuration_window, discovery_window);
    auto out = std::min(window - since_start, longest_configuration_hold);
    if (deadline)
    {
        out = std::min(out, *deadline / 2);
    }
    return std::max(out, duration(0));
}

} // namespace agatebank
