#include <agatebank/fleet/report_period.hpp>

#include <algorithm>
#include <chrono>

namespace agatebank
{

namespace
{

/// Processor time of an entry to receive one load report.
constexpr double report_cost_s = 25e-6;
/// Share of an entry's processor time that receiving reports may take.
constexpr double receiving_share = 0.1;
/// Smaller changes of the period are not worth a message to each agent.
constexpr double told_change_ratio = 1.25;

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

duration to_report_period(double processor_share, std::size_t agents)
{
    if (!(processor_share > 0))
    {
        return min_report_period;
    }
    const double seconds = static_cast<double>(agents) * report_cost_s /
                           (receiving_share * std::min(processor_share, 1.0));
    // Clamped before the conversion, which has a smaller range.
    return std::chrono::round<duration>(std::chrono::duration<double>(
        std::clamp(seconds, to_seconds(min_report_period),
                   to_seconds(max_report_period))));
}

duration clamp_report_period(duration requested) noexcept
{
    return std::clamp(requested, min_report_period, max_report_period);
}

bool is_new_report_period(duration in_force, duration period) noexcept
{
    const auto [shorter, longer] = std::minmax(in_force, period);
    return static_cast<double>(longer.count()) >=
           told_change_ratio * static_cast<double>(shorter.count());
}

duration small_change_report_period(duration period) noexcept
{
    return std::min(4 * period, max_report_period);
}

bool is_class_change(const target_load& a, const target_load& b)
{
    return a.accepts_work != b.accepts_work || a.suspect != b.suspect ||
           a.cold != b.cold || a.capacity != b.capacity;
}

} // namespace agatebank
