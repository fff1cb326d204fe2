#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/locality_wait.hpp>

#include <algorithm>
#include <cmath>
#include <string>

namespace agatebank
{

namespace
{

/// Value of an answer that is useful but not on time, as agreed with the
/// operators.
constexpr double late_value = 0.2;
/// Precision of the granted time; load reports are at least 25 ms old.
constexpr duration grant_precision = std::chrono::milliseconds(1);

// Probability that a normally distributed end is not after a limit.
double probability_by(const place_forecast& place, duration limit)
{
    const auto spread =
        static_cast<double>(std::max<int64_t>(1, place.spread.count()));
    const auto margin = static_cast<double>((limit - place.end).count());
    return 0.5 * std::erfc(-margin / spread / std::sqrt(2.0));
}

// Value that the longer run elsewhere takes from other jobs.
double displaced_value(const locality_input& input)
{
    const auto extra = input.elsewhere->run - input.near->run;
    if (input.utilisation <= 1 || extra.count() <= 0)
    {
        return 0;
    }
    return (1 - 1 / input.utilisation) * static_cast<double>(extra.count()) /
           static_cast<double>(std::max<int64_t>(1, input.near->run.count()));
}

std::string to_text(const std::optional<place_forecast>& place)
{
    return place ? "start in " + to_ms_text(place->start) + " and end in " +
                       to_ms_text(place->end)
                 : std::string("no place");
}

} // namespace

std::string to_text(const locality_choice& choice)
{
    const auto& input = choice.input;
    return "granted " + to_ms_text(choice.decision.granted) +
           ", expected near the data: " + to_text(input.near) +
           ", elsewhere: " + to_text(input.elsewhere) + ", objective in " +
           to_ms_text(input.objective) + ", expected gain " +
           std::to_string(choice.decision.gain) +
           " of the task's value, service utilisation " +
           std::to_string(input.utilisation);
}

double expected_value(const place_forecast& place, const locality_input& input)
{
    const auto last_useful = std::max(input.objective, input.last_useful);
    return (1 - late_value) * probability_by(place, input.objective) +
           late_value * probability_by(place, last_useful);
}

locality_decision decide_locality(const locality_input& input)
{
    if (!input.near)
    {
        return {};
    }
    if (!input.elsewhere)
    {
        return {locality_action::run_near, {}, 0};
    }
    const bool is_free = input.near->start <= input.elsewhere->start;
    const auto action =
        is_free ? locality_action::run_near : locality_action::wait_near;
    const double least =
        expected_value(*input.elsewhere, input) - displaced_value(input);
    const auto gain_at = [&](duration start)
    {
        auto place = *input.near;
        place.end += start - place.start;
        return expected_value(place, input) - least;
    };
    const double gain = gain_at(input.near->start);
    // Where both places are sure to be on time or sure to be late, the earlier
    // end decides.
    const bool pays =
        gain > 0 || (gain == 0 && input.near->end <= input.elsewhere->end);
    if (!pays || (!is_free && !input.may_wait))
    {
        return {locality_action::run_elsewhere, {}, gain};
    }
    // A later start than this would not be useful at all.
    auto high =
        std::max(input.near->start,
                 input.last_useful - (input.near->end - input.near->start));
    auto low = input.near->start;
    while (high - low > grant_precision)
    {
        const auto middle = low + (high - low) / 2;
        (gain_at(middle) >= 0 ? low : high) = middle;
    }
    return {action, std::max(low, grant_precision), gain};
}

bool starts_behind_others(const locality_input& input)
{
    return input.utilisation > 1;
}

} // namespace agatebank
