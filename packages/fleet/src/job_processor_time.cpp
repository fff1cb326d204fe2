#include <agatebank/fleet/job_processor_time.hpp>

#include <algorithm>
#include <cmath>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr duration interval_length = 500ms;
constexpr std::size_t max_intervals = 10;
/// Fewer jobs say little: the process also uses time without any.
constexpr double min_jobs = 20;
/// Until jobs have been measured, for jobs of 4 tasks.
constexpr double initial_job_us = 1200;
/// A relayed job costs the first entry 0.80 ms where a served one costs 0.92.
constexpr double initial_relay_ratio = 0.87;
/// After this time without relays, they are tried again at the initial ratio.
constexpr duration ratio_lifetime = 30s;
/// Weight of the previous ratio relative to the jobs of the intervals.
constexpr double prior_weight = 0.02;

duration to_duration(double us)
{
    return duration(std::lround(us));
}

} // namespace

job_processor_time::job_processor_time()
    : mean_us_(initial_job_us)
    , serving_us_(initial_job_us)
    , relay_ratio_(initial_relay_ratio)
{
}

// modifiers

void job_processor_time::add_sample(time_point now, const entry_work& work)
{
    if (started_ && now - interval_begin_ < interval_length)
    {
        return;
    }
    if (started_)
    {
        intervals_.push_back(
            {static_cast<double>(work.served_jobs - at_begin_.served_jobs),
             static_cast<double>(work.relayed_jobs - at_begin_.relayed_jobs),
             static_cast<double>(
                 (work.processor_time - at_begin_.processor_time).count())});
        if (intervals_.size() > max_intervals)
        {
            intervals_.pop_front();
        }
        fit(now);
    }
    started_ = true;
    interval_begin_ = now;
    at_begin_ = work;
}

void job_processor_time::fit(time_point now)
{
    interval sum;
    double ss = 0;
    double rr = 0;
    double sr = 0;
    double sc = 0;
    double rc = 0;
    for (const auto& it : intervals_)
    {
        sum.served += it.served;
        sum.relayed += it.relayed;
        sum.processor_us += it.processor_us;
        ss += it.served * it.served;
        rr += it.relayed * it.relayed;
        sr += it.served * it.relayed;
        sc += it.served * it.processor_us;
        rc += it.relayed * it.processor_us;
    }
    if (now - ratio_measured_ > ratio_lifetime)
    {
        relay_ratio_ = initial_relay_ratio;
    }
    if (sum.served + sum.relayed < min_jobs)
    {
        return;
    }
    mean_us_ = sum.processor_us / (sum.served + sum.relayed);
    const double served_us =
        sum.processor_us / (sum.served + relay_ratio_ * sum.relayed);
    serving_us_ = served_us;
    if (sum.relayed < min_jobs || sum.served < min_jobs)
    {
        return;
    }
    // Least squares of (processor_us - a x served - b x relayed), and of the
    // distance of a and b from the previous ratio.
    const double weight = prior_weight * (ss + rr);
    const double aa = ss + weight;
    const double bb = rr + weight;
    const double ac = sc + weight * served_us;
    const double bc = rc + weight * served_us * relay_ratio_;
    const double determinant = aa * bb - sr * sr;
    const double a = (ac * bb - bc * sr) / determinant;
    const double b = (bc * aa - ac * sr) / determinant;
    if (a > 0 && b > 0)
    {
        serving_us_ = a;
        relay_ratio_ = b / a;
        ratio_measured_ = now;
    }
}

// lookup

duration job_processor_time::mean() const noexcept
{
    return to_duration(mean_us_);
}

duration job_processor_time::serving() const noexcept
{
    return to_duration(serving_us_);
}

duration job_processor_time::relaying() const noexcept
{
    return to_duration(serving_us_ * relay_ratio_);
}

} // namespace agatebank
