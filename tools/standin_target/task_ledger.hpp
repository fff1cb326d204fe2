#pragma once

#include "task_request.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace agatebank
{

/// @brief Records every start that the target received, in memory and as JSON
/// lines in a file. Each line is written without buffering, so that it is kept
/// when the process is killed.
class task_ledger
{
  public:
    // construction
    /// @param file file to append to; if empty, records are kept in memory only
    /// @param target target name, written into each record
    /// @throw std::system_error if the file cannot be opened
    task_ledger(const std::string& file, std::string target);
    ~task_ledger();
    task_ledger(const task_ledger&) = delete;
    task_ledger& operator=(const task_ledger&) = delete;

    // modifiers
    /// @brief Records the start of a task.
    /// @param running tasks that run at the target, this one included
    void start(const task_request& task, unsigned running);
    /// @brief Records the end of a task.
    /// @param outcome "answered", "failed" or "cut"
    void end(const task_request& task, const std::string& outcome);
    /// @brief Records a connection that was closed before anything was read.
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
