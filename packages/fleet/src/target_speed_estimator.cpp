#include <agatebank/fleet/target_speed_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace agatebank
{

namespace
{

/// Runs over which the moving average extends.
constexpr uint32_t window = 32;
/// Limit on the difference of one run from the average, as a natural logarithm,
/// so that a stalled run doesn't dominate it.
constexpr double max_difference = 1.5;

} // namespace

void target_speed_estimator::observe(duration reference, duration measured)
{
    if (reference.count() <= 0 || measured.count() <= 0)
    {
        return;
    }
    const double log_ratio = std::log(static_cast<double>(reference.count()) /
                                      static_cast<double>(measured.count()));
    const double difference = log_ratio - log_speed_;
    ++runs_;
    log_speed_ +=
        runs_ == 1 ? difference
                   : std::clamp(difference, -max_difference, max_difference) /
                         std::min(runs_, window);
}

void target_speed_estimator::reset()
{
    *this = target_speed_estimator();
}

double target_speed_estimator::speed() const
{
    return std::exp(log_speed_);
}

uint32_t target_speed_estimator::runs() const noexcept
{
    return runs_;
}

bool target_speed_estimator::is_learned() const noexcept
{
    return runs_ >= min_learned_runs;
}

} // namespace agatebank
