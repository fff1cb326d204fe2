#pragma once

#include <agatebank/core/units.hpp>

#include <string>

namespace agatebank
{

/// @brief A task as received from an agent.
struct task_request
{
    std::string submission; ///< header Agatebank-Submission
    std::string task;       ///< header Agatebank-Task
    std::string service;    ///< header Agatebank-Service
    std::string payload;
};

/// @brief Run time and answer that a payload requests, as in
/// `{"run_ms":120,"echo":"..."}`. Without `run_ms` the run time is zero;
/// without `echo` the answer is the whole payload.
struct task_work
{
    duration run_time{};
    std::string answer;
};

/// @brief Parses a payload; accepts any text.
task_work parse_work(const std::string& payload);

} // namespace agatebank
