#pragma once

#include <agatebank/core/units.hpp>

#include <string>

namespace agatebank
{

/// @brief One task as an agent sent it.
struct task_request
{
    std::string submission; ///< header Agatebank-Submission
    std::string task;       ///< header Agatebank-Task
    std::string service;    ///< header Agatebank-Service
    std::string payload;
};

/// @brief What a payload asks for: `{"run_ms":120,"echo":"..."}`. Any other
/// payload runs for no time and is echoed whole.
struct task_work
{
    duration run_time{};
    std::string answer;
};

/// @brief Reads a payload; never fails.
task_work parse_work(const std::string& payload);

} // namespace agatebank
