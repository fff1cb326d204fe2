#pragma once

#include <agatebank/core/units.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatebank
{

/// @brief A task whose run may go on after its job has ended.
struct stopping_task
{
    uint32_t step = 0;
    uint32_t index = 0;
    time_point until; ///< its run is over by then
};

/// @brief A submission that has ended and of which tasks may have run.
struct ended_submission
{
    time_point ended;
    std::vector<stopping_task> stopping;
};

/// @brief The submissions that ended at an entry in the last few seconds and of
/// which tasks may have run, by the callers' job ids. A job that is submitted
/// again may neither run a task beside its earlier run nor be refused as not
/// run. Memory is bounded: the oldest submissions are removed beyond
/// @ref max_size.
class ended_submissions
{
  public:
    /// Longer than callers wait before they submit a job again, 1.3 s, plus the
    /// longest delay of a request that is accepted.
    static constexpr duration retention = std::chrono::seconds(5);
    /// Submissions plus stopping tasks, at most 200 bytes each.
    static constexpr std::size_t max_size = 16384;

    // modifiers
    /// @brief Adds a submission, and replaces an earlier one of the same job.
    /// @param now not before that of the call before
    /// @complexity constant on average, beside the removed submissions
    void put(const std::string& job, std::vector<stopping_task> stopping,
             time_point now);

    // lookup
    /// @brief The latest submission of a job, or null. Valid until the next
    /// call of @ref put.
    const ended_submission* find(const std::string& job, time_point now) const;
    /// @brief Submissions plus stopping tasks.
    std::size_t size() const noexcept;

  private:
    struct record
    {
        ended_submission submission;
        uint64_t number = 0;
    };
    struct position
    {
        time_point ended;
        uint64_t number = 0; ///< of the submission
        std::string job;
    };

    void erase(const std::string& job);
    bool is_outdated(const position& oldest, time_point now) const;

    std::unordered_map<std::string, record> by_job_;
    std::deque<position> order_; ///< also of submissions that were replaced
    std::size_t size_ = 0;
    uint64_t last_number_ = 0;
};

} // namespace agatebank
