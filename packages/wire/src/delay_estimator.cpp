#include <agatebank/wire/delay_estimator.hpp>

#include <algorithm>
#include <chrono>

namespace agatebank
{

namespace
{

/// Clocks that differ by 100 ppm drift apart by 12 ms in two windows.
constexpr duration window = std::chrono::seconds(60);

// The clock of the sender is not trusted to be in range.
int64_t subtract(int64_t a, int64_t b)
{
    return static_cast<int64_t>(static_cast<uint64_t>(a) -
                                static_cast<uint64_t>(b));
}

int64_t to_us(time_point t)
{
    return t.time_since_epoch().count();
}

} // namespace

void delay_estimator::bound(time_point before, int64_t reading_us,
                            time_point now)
{
    advance(now);
    const auto lower = subtract(to_us(before), reading_us);
    current_.lower_bound =
        std::max(current_.lower_bound.value_or(lower), lower);
}

duration delay_estimator::observe(int64_t sent_us, time_point handled)
{
    advance(handled);
    const auto current = subtract(to_us(handled), sent_us);
    current_.smallest = std::min(current_.smallest.value_or(current), current);
    const auto smallest =
        std::min(*current_.smallest, previous_.smallest.value_or(current));
    // Empty optionals are the least.
    const auto lower = std::max(current_.lower_bound, previous_.lower_bound);
    const auto base = std::min(smallest, lower.value_or(smallest));
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

void delay_estimator::advance(time_point now)
{
    if (now >= window_end_)
    {
        previous_ = current_;
        current_ = {};
        window_end_ = now + window;
    }
}

} // namespace agatebank
