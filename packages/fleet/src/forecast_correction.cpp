#include <agatebank/fleet/forecast_correction.hpp>

#include <algorithm>
#include <chrono>
#include <vector>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// Age up to which an ended job shows the present load.
constexpr duration window = 1s;
/// Limit on the jobs that are kept, to bound memory and time.
constexpr std::size_t max_samples = 256;
/// With fewer jobs a single one of unusual length would decide.
constexpr std::size_t min_samples = 8;
/// Limit on the correction, as the ratio of a job with little work says more
/// about its run time than about the load.
constexpr double max_ratio = 3;

} // namespace

void forecast_correction::on_end(const service_name& service, duration expected,
                                 duration actual, bool late, time_point now)
{
    if (expected.count() <= 0)
    {
        return;
    }
    auto& samples = samples_[service];
    samples.push_back({now,
                       static_cast<double>(actual.count()) /
                           static_cast<double>(expected.count()),
                       late});
    while (samples.size() > max_samples || now - samples.front().at > window)
    {
        samples.pop_front();
    }
}

forecast_error forecast_correction::error(const service_name& service,
                                          time_point now) const
{
    forecast_error out;
    const auto found = samples_.find(service);
    if (found == samples_.end())
    {
        return out;
    }
    std::vector<double> ratios;
    std::size_t late = 0;
    for (const auto& it : found->second)
    {
        if (now - it.at <= window)
        {
            ratios.push_back(it.ratio);
            late += it.late ? 1 : 0;
        }
    }
    out.jobs = ratios.size();
    if (ratios.size() < min_samples)
    {
        return out;
    }
    const auto middle =
        ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    out.ratio = std::clamp(*middle, 1.0, max_ratio);
    out.late_share =
        static_cast<double>(late) / static_cast<double>(ratios.size());
    return out;
}

} // namespace agatebank
