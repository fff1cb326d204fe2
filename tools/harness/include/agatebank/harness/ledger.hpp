#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief One start of a task, as recorded by a target.
struct ledger_start
{
    std::string submission;
    std::string task;
    std::string target;
    std::string answer;   ///< the echo that the payload requests
    int64_t at_us = 0;    ///< system monotonic clock
    unsigned running = 0; ///< tasks running at the target, this one included
};

/// @brief The starts of all targets, from their ledger files.
class ledger
{
  public:
    // construction
    /// @brief Reads every `*.jsonl` file of a directory. Lines that are not
    /// valid JSON are skipped: a process that is killed while writing leaves
    /// its last line incomplete.
    explicit ledger(const std::string& directory);

    // lookup
    const std::vector<ledger_start>& starts() const noexcept;
    /// @brief Number of connections that a target closed without reading.
    std::size_t connections() const noexcept;
    /// @brief Starts of one submission.
    /// @param submission the caller's submission id
    std::vector<ledger_start> starts_of(const std::string& submission) const;
    /// @brief Times in microseconds of the starts with this requested answer.
    std::vector<int64_t> times_of(const std::string& answer) const;
    /// @brief Tasks that were started more than once, as text.
    std::vector<std::string> started_twice() const;
    /// @brief Starts at which a target ran more than @p slots tasks, as text.
    std::vector<std::string> over_slots(unsigned slots) const;

  private:
    void read_file(const std::string& file);

    std::vector<ledger_start> starts_;
    std::map<std::string, std::vector<std::size_t>> by_submission_;
    std::map<std::string, std::vector<std::size_t>> by_answer_;
    std::size_t connections_ = 0;
};

} // namespace agatebank
