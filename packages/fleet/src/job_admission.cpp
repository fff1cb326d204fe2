#include <agatebank/fleet/job_admission.hpp>

#include <algorithm>
#include <chrono>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// Limits of the time after which a refused client may retry. Retry-After is
/// stated in whole seconds (RFC 9110), so 1 s is the shortest one.
constexpr duration min_retry_after = 1s;
constexpr duration max_retry_after = 10s;

} // namespace

admission_decision decide_admission(const admission_input& input)
{
    if (!input.has_target)
    {
        return {false, min_retry_after};
    }
    if (input.expected_finish <= input.latest_useful)
    {
        return {true, {}};
    }
    const auto backlog_time = input.expected_finish - input.objective;
    return {false, std::clamp(backlog_time, min_retry_after, max_retry_after)};
}

} // namespace agatebank
