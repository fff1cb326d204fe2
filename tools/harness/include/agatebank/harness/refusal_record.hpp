#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace agatebank
{

/// @brief Refusals of jobs ("not run", 429 or 503) and the starts of their
/// tasks.
struct refusal_counts
{
    std::size_t refusals = 0; ///< answers
    /// jobs with a start, before or after the answers, all of whose submissions
    /// were refused
    std::size_t refused_jobs_started = 0;
    /// starts of jobs that were refused and not submitted again
    std::size_t starts_after_refusal = 0;
    /// refusals of a later submission of a job that had started for an earlier
    /// one. The platform's rules allow these.
    std::size_t refusals_after_start = 0;

    refusal_counts& operator+=(const refusal_counts& other)
    {
        refusals += other.refusals;
        refused_jobs_started += other.refused_jobs_started;
        starts_after_refusal += other.starts_after_refusal;
        refusals_after_start += other.refusals_after_start;
        return *this;
    }
};

/// @brief Checks the refusals that callers received against the starts that
/// targets recorded.
class refusal_record
{
  public:
    // modifiers
    void submit(const std::string& job)
    {
        auto& it = jobs_[job];
        ++it.submissions;
        it.is_refused = false;
    }

    /// @return whether a task has started although all submissions were refused
    bool refuse(const std::string& job)
    {
        auto& it = jobs_[job];
        ++it.refusals;
        it.is_refused = true;
        ++counts_.refusals;
        counts_.refusals_after_start +=
            it.starts != 0 && !it.all_refused() ? 1 : 0;
        return it.starts != 0 && it.all_refused();
    }

    /// @return whether the job was refused and not submitted again
    bool start(const std::string& job)
    {
        auto& it = jobs_[job];
        ++it.starts;
        counts_.starts_after_refusal += it.is_refused ? 1 : 0;
        return it.is_refused;
    }

    // lookup
    refusal_counts counts() const
    {
        auto out = counts_;
        for (const auto& [id, it] : jobs_)
        {
            out.refused_jobs_started +=
                it.starts != 0 && it.all_refused() ? 1 : 0;
        }
        return out;
    }

  private:
    struct job_record
    {
        int submissions = 0;
        int refusals = 0;
        int starts = 0;
        bool is_refused = false; ///< the latest submission

        bool all_refused() const
        {
            return refusals == submissions;
        }
    };

    std::map<std::string, job_record> jobs_;
    refusal_counts counts_;
};

} // namespace agatebank
