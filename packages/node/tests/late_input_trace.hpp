#pragma once

#include "run_ledger.hpp"
#include <agatebank/core/duration_math.hpp>

#include <string>
#include <vector>

namespace agatebank
{

/// @brief What happened in a simulation, by job and by process.
class late_input_trace
{
  public:
    /// The processes from here on are agents.
    static constexpr std::size_t entry_count = 2;

    late_input_trace(bool enabled, time_point begin)
        : enabled_(enabled), begin_(begin)
    {
    }

    static std::string name_of(std::size_t process)
    {
        return process < entry_count
                   ? "entry " + std::to_string(process)
                   : "agent " + std::to_string(process - entry_count);
    }

    void add(time_point t, const std::string& job, const std::string& text)
    {
        if (enabled_)
        {
            lines_.push_back({t, job, 0, text});
        }
    }

    void add(time_point t, std::size_t process, const std::string& text)
    {
        if (enabled_)
        {
            lines_.push_back({t, {}, process, name_of(process) + " " + text});
        }
    }

    /// @brief What happened before an overlap: to its job, to the entries, and
    /// to the agent of the earlier run.
    std::string text(const run_overlap& o) const
    {
        std::string out;
        for (const auto& it : lines_)
        {
            const bool shown = it.job.empty()
                                   ? it.process < entry_count ||
                                         it.process == entry_count + o.earlier
                                   : it.job == job_of(o.task);
            if (shown && it.at > o.began - shown_time &&
                it.at <= o.began + o.length)
            {
                out += to_ms_text(it.at - begin_) + ": " + it.text + "\n";
            }
        }
        return out;
    }

  private:
    static constexpr duration shown_time = std::chrono::milliseconds(2600);

    struct line
    {
        time_point at;
        std::string job;
        std::size_t process = 0; ///< if without a job
        std::string text;
    };

    bool enabled_;
    time_point begin_;
    std::vector<line> lines_;
};

} // namespace agatebank
