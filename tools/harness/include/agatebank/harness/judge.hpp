#pragma once

#include <agatebank/harness/job_request.hpp>
#include <agatebank/harness/ledger.hpp>

#include <string>
#include <vector>

namespace agatebank
{

/// @brief Holds what callers asked and saw against the targets' ledgers.
class judge
{
  public:
    // modifiers
    /// @brief A reply to a request that carried, or asked for, a job.
    void saw(const std::string& submission, const job_request& job,
             const caller_reply& reply);

    // lookup
    /// @brief Every breach: a task that started twice, an answer that is
    /// partial or another's, a "not run" that did run. Empty: none.
    std::vector<std::string> breaches(const ledger& starts) const;
    /// @brief Number of replies with a state, such as "complete".
    std::size_t count(const std::string& state) const;

  private:
    struct sighting
    {
        std::string submission;
        job_request job;
        caller_reply reply;
    };

    void check_answer(const sighting& s, std::vector<std::string>& out) const;
    void check_not_run(const sighting& s, const ledger& starts,
                       std::vector<std::string>& out) const;
    bool sent_again(const sighting& s) const;

    std::vector<sighting> sightings_;
};

/// @brief One breach a line.
std::string to_lines(const std::vector<std::string>& breaches);

} // namespace agatebank
