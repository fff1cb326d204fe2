#pragma once

#include <agatebank/core/strong_id.hpp>

#include <chrono>
#include <cstdint>

namespace agatebank
{

/// @brief Monotonic clock of one process. Core code never reads it; the time
/// is passed in by the caller.
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
