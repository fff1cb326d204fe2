#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/target_health_estimator.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// Number of latest ends that decide whether a target is suspect, and the
/// minimum number for a decision.
constexpr std::size_t max_samples = 8;
constexpr std::size_t min_samples = 4;
/// Share of failed runs above which a target is suspect. On a healthy target
/// less than 1 % of the runs fail.
constexpr double suspect_failure_share = 0.6;
/// Ends older than this are ignored, as they do not show the present state.
constexpr duration max_sample_age = 4s;

/// Number and age of the run ends that the share of hung runs rests on. A
/// target that gets little work because of its share is tried again later.
constexpr std::size_t max_run_ends = 32;
constexpr duration max_run_end_age = 8s;
/// Hung runs from which they count; a single one may have another cause.
constexpr std::size_t min_hung_runs = 2;
/// Runs that the share is taken of at least.
constexpr std::size_t min_share_runs = 8;
/// A run hangs if its progress has not changed for this share of its expected
/// run time plus a fixed time. A run that takes 7 times as long as expected
/// still proceeds by 1 % within a tenth of it.
constexpr double hang_check_factor = 0.3;
constexpr duration hang_check_delay = 60ms;

/// Weight of one run in the moving average of the slowdown.
constexpr double slowdown_weight = 0.15;
/// Limit on the natural logarithm of the ratio of one run, so that a single run
/// cannot dominate the average.
constexpr double max_log_ratio = 2.0;
/// Run times vary by about 20 %; a smaller ratio than this cannot be
/// distinguished from that variation.
constexpr double min_slowdown = 1.5;
/// Time constant of the exponential decay of the slowdown without new runs.
constexpr duration slowdown_decay_time = 2s;

/// A run is checked for a stall only after this multiple of its expected run
/// time plus a fixed time.
constexpr double stall_check_factor = 1.5;
constexpr duration stall_check_delay = 120ms;
/// A run is stalled if its remaining time exceeds this multiple of a whole run
/// elsewhere plus a fixed time; otherwise a restart gains too little for the
/// work that it discards.
constexpr double min_restart_gain = 1.5;
constexpr duration restart_cost = 100ms;

} // namespace

void target_health_estimator::add(bool failed, time_point now)
{
    samples_.push_back({now, failed});
    while (samples_.size() > max_samples)
    {
        samples_.pop_front();
    }
}

void target_health_estimator::on_done(duration measured, duration expected,
                                      time_point now)
{
    if (suspect(now))
    {
        // One successful run ends the suspicion.
        samples_.clear();
    }
    add(false, now);
    if (expected.count() <= 0 || measured.count() <= 0)
    {
        return;
    }
    const double ratio = static_cast<double>(measured.count()) /
                         static_cast<double>(expected.count());
    const double log_ratio =
        std::clamp(std::log(ratio), -max_log_ratio, max_log_ratio);
    log_slowdown_ += slowdown_weight * (log_ratio - log_slowdown_);
    slowdown_at_ = now;
}

void target_health_estimator::on_failed(time_point now)
{
    add(true, now);
}

void target_health_estimator::on_run_end(bool hung, time_point now)
{
    run_ends_.push_back({now, hung});
    while (run_ends_.size() > max_run_ends)
    {
        run_ends_.pop_front();
    }
}

double target_health_estimator::hang_share(std::size_t hanging,
                                           time_point now) const
{
    std::size_t n = hanging;
    std::size_t hung = hanging;
    for (const auto& it : run_ends_)
    {
        if (now - it.at <= max_run_end_age)
        {
            ++n;
            hung += it.failed ? 1 : 0;
        }
    }
    return hung < min_hung_runs
               ? 0
               : static_cast<double>(hung) /
                     static_cast<double>(std::max(n, min_share_runs));
}

void target_health_estimator::reset()
{
    *this = target_health_estimator();
}

bool target_health_estimator::suspect(time_point now) const
{
    std::size_t n = 0;
    std::size_t failed = 0;
    for (const auto& it : samples_)
    {
        if (now - it.at <= max_sample_age)
        {
            ++n;
            failed += it.failed ? 1 : 0;
        }
    }
    return n >= min_samples &&
           static_cast<double>(failed) >
               suspect_failure_share * static_cast<double>(n);
}

double target_health_estimator::slowdown(time_point now) const
{
    const double age = std::chrono::duration<double>(now - slowdown_at_) /
                       std::chrono::duration<double>(slowdown_decay_time);
    const double ratio = std::exp(log_slowdown_ * std::exp(-std::max(0., age)));
    return ratio < min_slowdown ? 1 : ratio;
}

bool is_hanging(duration unchanged, duration expected)
{
    return unchanged >= scale(expected, hang_check_factor) + hang_check_delay;
}

bool is_stalled(const run_progress& progress)
{
    if (progress.age <
        scale(progress.expected, stall_check_factor) + stall_check_delay)
    {
        return false;
    }
    const double done = std::max(1, progress.percent) / 100.0;
    const auto left = scale(progress.age, (1 - done) / done);
    return left > scale(progress.expected, min_restart_gain) + restart_cost;
}

} // namespace agatebank
