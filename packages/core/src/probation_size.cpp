#include <agatebank/core/probation_size.hpp>

#include <algorithm>
#include <cmath>

namespace agatebank
{

namespace
{

/// Jobs arrive at random, so some of the probation targets are free when they
/// suffice on average.
constexpr double headroom = 1.25;
/// Above this utilisation, tasks wait long enough to be late.
constexpr double max_utilisation = 0.8;
/// The goal for the routes whose tasks crash no target.
constexpr double max_loss_of_others = 0.05;

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

std::size_t max_probation_targets(std::size_t targets)
{
    return std::max<std::size_t>(1, targets / 2);
}

probation_size size_probation(const probation_input& in)
{
    probation_size out;
    const auto targets = static_cast<double>(in.targets);
    if (in.targets == 0)
    {
        return out;
    }
    const double away = in.crashing_jobs_per_s * to_seconds(in.time_away);
    const double harmless =
        std::max(0.0, in.jobs_per_s - in.crashing_jobs_per_s);
    const double needed = away + harmless * to_seconds(in.first_task_time);
    const double left =
        std::floor(targets - static_cast<double>(in.away_targets) -
                   in.busy_targets / max_utilisation);
    const double available = std::clamp(
        left, 1.0, static_cast<double>(max_probation_targets(in.targets)));
    const double size =
        std::clamp(std::ceil(headroom * needed), 1.0, available);
    out.refused_share = std::max(0.0, 1 - size / std::max(needed, size));
    out.containment_loss =
        in.work_share *
        (out.refused_share + (1 - out.refused_share) * in.loss_when_served);
    out.crash_loss = std::min(1.0, away * in.crashes_per_job / targets);
    const bool contain = out.crash_loss > max_loss_of_others ||
                         out.crash_loss >= out.containment_loss;
    out.targets = contain ? static_cast<std::size_t>(size) : 0;
    return out;
}

} // namespace agatebank
