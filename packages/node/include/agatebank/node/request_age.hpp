#pragma once

#include <agatebank/core/units.hpp>

namespace agatebank
{

/// @brief A job whose request may have been sent longer ago is refused. Callers
/// submit a job again 1,300 ms after they closed their connection, and stopping
/// runs takes time, too.
constexpr duration max_request_age = std::chrono::milliseconds(800);

/// @brief TCP sends a lost segment again after this time, and doubles the time
/// with each further attempt (RFC 6298, with the minimum of Linux).
constexpr duration first_retransmission = std::chrono::milliseconds(200);

/// @brief Longest time from sending a segment until it arrives at a VM that
/// received nothing during a pause.
/// @param pause length of the pause
constexpr duration longest_arrival(duration pause)
{
    return 2 * pause + first_retransmission;
}

/// @brief After a longer pause of the process, requests on connections that
/// were open meanwhile may be older than @ref max_request_age.
constexpr duration max_unnoticed_pause = std::chrono::milliseconds(300);
static_assert(longest_arrival(max_unnoticed_pause) <= max_request_age);

} // namespace agatebank
