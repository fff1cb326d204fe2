#pragma once

#include <agatebank/core/units.hpp>

#include <chrono>

// Times that several parts of job_scheduler use.

namespace agatebank
{

/// Time that an answer needs to reach its caller; jobs end this long before
/// their deadline.
inline constexpr duration answer_delivery_time = std::chrono::milliseconds(20);

/// Retry-After of a job that was admitted but could not start in time; 1 s is
/// the shortest value that the header can state.
inline constexpr duration queue_timeout_retry_after = std::chrono::seconds(1);

} // namespace agatebank
