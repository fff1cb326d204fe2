#include <agatebank/wire/delay_estimator.hpp>

#include <algorithm>
#include <chrono>

namespace agatebank
{

namespace
{

/// Clocks that differ by 100 ppm drift apart by 12 ms in two windows.
constexpr duration window = std::chrono::seconds(60);

} // namespace

duration delay_estimator::observe(int64_t sent_us, time_point handled)
{
    // The clock of the sender is not trusted to be in range.
    const auto current = static_cast<offset>(
        static_cast<uint64_t>(handled.time_since_epoch().count()) -
        static_cast<uint64_t>(sent_us));
    if (!smallest_ || handled >= window_end_)
    {
        previous_smallest_ = smallest_;
        smallest_ = current;
        window_end_ = handled + window;
    }
    smallest_ = std::min(*smallest_, current);
    const auto base =
        std::min(*smallest_, previous_smallest_.value_or(current));
    const auto delay =
        static_cast<uint64_t>(current) - static_cast<uint64_t>(base);
    constexpr auto longest = static_cast<uint64_t>(duration::max().count());
    last_ = duration(static_cast<int64_t>(std::min(delay, longest)));
    return last_;
}

duration delay_estimator::last() const noexcept
{
    return last_;
}

} // namespace agatebank
