#pragma once

#include <agatebank/core/strong_id.hpp>

#include <chrono>
#include <cstdint>

namespace agatebank
{

/// @brief Monotonic clock of one process. The core package never reads a
/// clock; callers pass the time.
struct process_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<process_clock>;
    static constexpr bool is_steady = true;
};

using duration = process_clock::duration;
using time_point = process_clock::time_point;

/// @brief Amount of money in the smallest unit of the operator's currency.
using price = strong_id<struct price_tag, int64_t>;

} // namespace agatebank
