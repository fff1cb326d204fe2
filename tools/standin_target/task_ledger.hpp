#pragma once

#include "task_request.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace agatebank
{

/// @brief Record of every start that the target saw, in memory and as JSON
/// lines in a file. Each line is written at once, so that it outlives the
/// process.
class task_ledger
{
  public:
    // construction
    /// @param file appended to; empty: memory only
    /// @param target name written into each record
    /// @throw std::system_error if the file cannot be opened
    task_ledger(const std::string& file, std::string target);
    ~task_ledger();
    task_ledger(const task_ledger&) = delete;
    task_ledger& operator=(const task_ledger&) = delete;

    // modifiers
    /// @param running tasks that run at the target, this one included
    void start(const task_request& task, unsigned running);
    /// @param outcome "answered", "failed" or "cut"
    void end(const task_request& task, const std::string& outcome);
    /// @brief A connection that was closed before anything was read.
    void connection();

    // lookup
    const nlohmann::json& records() const noexcept;

  private:
    void append(nlohmann::json record);

    int file_ = -1;
    std::string target_;
    nlohmann::json records_ = nlohmann::json::array();
};

} // namespace agatebank
