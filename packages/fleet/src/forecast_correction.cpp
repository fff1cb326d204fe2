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

/// Share of the ended jobs whose error is at most the one that is used. With
/// the median, half of the jobs that are expected to be just on time are late;
/// a third of unusual jobs must not decide.
constexpr double error_quantile = 0.66;

template <class T>
T quantile(std::vector<T>& values)
{
    const auto it = values.begin() +
                    static_cast<std::ptrdiff_t>(
                        static_cast<double>(values.size()) * error_quantile);
    std::nth_element(values.begin(), it, values.end());
    return *it;
}

} // namespace

void forecast_correction::on_end(const service_name& service, std::size_t band,
                                 duration expected, duration actual, bool late,
                                 time_point now)
{
    if (expected.count() <= 0)
    {
        return;
    }
    auto& samples = samples_[service];
    samples.push_back({now, band,
                       static_cast<double>(actual.count()) /
                           static_cast<double>(expected.count()),
                       actual - expected, late});
    while (samples.size() > max_samples || now - samples.front().at > window)
    {
        samples.pop_front();
    }
}

forecast_error forecast_correction::error(const service_name& service,
                                          std::size_t band,
                                          time_point now) const
{
    const auto found = samples_.find(service);
    if (found == samples_.end())
    {
        return {};
    }
    const auto of_band = error_of(found->second, band, now);
    return of_band.jobs >= min_samples
               ? of_band
               : error_of(found->second, std::nullopt, now);
}

forecast_error forecast_correction::error_of(const std::deque<sample>& samples,
                                             std::optional<std::size_t> band,
                                             time_point now)
{
    forecast_error out;
    std::vector<double> ratios;
    std::vector<duration> delays;
    std::size_t late = 0;
    for (const auto& it : samples)
    {
        if (now - it.at <= window && (!band || it.band == *band))
        {
            ratios.push_back(it.ratio);
            delays.push_back(it.delay);
            late += it.late ? 1 : 0;
        }
    }
    out.jobs = ratios.size();
    if (ratios.size() < min_samples)
    {
        return out;
    }
    out.ratio = std::clamp(quantile(ratios), 1.0, max_ratio);
    out.delay = std::max(quantile(delays), duration(0));
    out.late_share =
        static_cast<double>(late) / static_cast<double>(ratios.size());
    return out;
}

} // namespace agatebank
