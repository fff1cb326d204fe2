#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/core/units.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatebank
{

/// @brief A task, as sent by the caller.
struct task_document
{
    std::string payload; ///< bytes sent to the target
    std::optional<duration> declared_run_time;
};

/// @brief A job, as sent by the caller.
struct job_document
{
    service_name service;
    patience_name patience;
    bool idempotent = false;
    std::vector<task_document> tasks;
};

/// @brief Limits on a job.
struct job_limits
{
    std::size_t max_tasks = 1000;
    duration max_declared_run_time = std::chrono::minutes(10);
};

/// @brief Parses a job from JSON text.
///
/// A task payload that is a JSON string is sent to the target as the bytes of
/// the string; any other JSON value is sent as JSON text. Unknown fields are
/// refused.
/// @return the job; errc::request_malformed with the path of the first error;
/// or errc::too_many_tasks
/// @complexity linear in the text
result<job_document> parse_job(std::string_view text, const job_limits& limits);

} // namespace agatebank
