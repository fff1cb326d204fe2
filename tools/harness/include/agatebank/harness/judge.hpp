#pragma once

#include <agatebank/harness/job_request.hpp>
#include <agatebank/harness/ledger.hpp>

#include <string>
#include <vector>

namespace agatebank
{

/// @brief Checks the replies that callers received against the starts that the
/// targets recorded in their ledgers.
class judge
{
  public:
    // modifiers
    /// @brief Records the reply to a submission or to a query for its state.
    void saw(const std::string& submission, const job_request& job,
             const caller_reply& reply);

    // lookup
    /// @brief Lists every violation: a task that was started twice, an answer
    /// that is incomplete or belongs to another task, and a task that ran
    /// although its job was reported as not run.
    /// @return one text for each violation; empty if there is none
    std::vector<std::string> breaches(const ledger& starts) const;
    /// @brief Number of recorded replies with a state, such as "complete".
    std::size_t count(const std::string& state) const;

  private:
    struct recorded_reply
    {
        std::string submission;
        job_request job;
        caller_reply reply;
    };

    void check_answer(const recorded_reply& s,
                      std::vector<std::string>& out) const;
    void check_not_run(const recorded_reply& s, const ledger& starts,
                       std::vector<std::string>& out) const;
    /// @brief Whether a reply came after @p s to a request that was sent before
    /// a time of the system monotonic clock.
    bool was_resubmitted(const recorded_reply& s, int64_t before_us) const;

    std::vector<recorded_reply> replies_;
};

/// @brief Joins the violations, one a line.
std::string to_lines(const std::vector<std::string>& breaches);

} // namespace agatebank
