#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief One start that a target saw.
struct ledger_start
{
    std::string submission;
    std::string task;
    std::string target;
    std::string answer; ///< the echo that the payload asks for
    int64_t at_us = 0;  ///< monotonic clock of the machine
    unsigned running = 0;
};

/// @brief The starts of all targets, from their ledger files.
class ledger
{
  public:
    // construction
    /// @brief Reads every `*.jsonl` file of a directory. A last line without
    /// an end, of a process killed while writing, is passed over.
    explicit ledger(const std::string& directory);

    // lookup
    const std::vector<ledger_start>& starts() const noexcept;
    /// @brief Connections that were closed before anything was read.
    std::size_t connections() const noexcept;
    /// @brief Starts of one submission.
    /// @param submission as the caller has it
    std::vector<ledger_start> starts_of(const std::string& submission) const;
    /// @brief Times of the starts whose payload asked for an echo.
    std::vector<int64_t> times_of(const std::string& answer) const;
    /// @brief Tasks that were started more than once, as text.
    std::vector<std::string> started_twice() const;
    /// @brief Starts above a target's slots, as text.
    std::vector<std::string> over_slots(unsigned slots) const;

  private:
    void read_file(const std::string& file);

    std::vector<ledger_start> starts_;
    std::map<std::string, std::vector<std::size_t>> by_submission_;
    std::map<std::string, std::vector<std::size_t>> by_answer_;
    std::size_t connections_ = 0;
};

} // namespace agatebank
