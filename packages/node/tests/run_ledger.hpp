#pragma once

#include "late_input_options.hpp"
#include <agatebank/core/target_interface.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Returns the job of a task that is named as at its target.
inline std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

/// @brief Records the runs of all targets, and those of one task that overlap.
class run_ledger
{
  public:
    /// @return whether the task runs on another target
    bool start(std::size_t target, const run_id& n,
               const std::string& submission, time_point now)
    {
        ++starts_;
        running_[n.task][target] = {now, submission};
        return running_[n.task].size() > 1;
    }

    void end(std::size_t target, const run_id& n, time_point now)
    {
        auto& others = running_[n.task];
        const auto own = others.extract(target).mapped();
        for (const auto& [other, it] : others)
        {
            const auto began = std::max(it.began, own.began);
            overlaps_.push_back({n.task, began, now - began,
                                 it.began < own.began ? other : target,
                                 it.submission == own.submission});
        }
    }

    const std::vector<run_overlap>& overlaps() const noexcept
    {
        return overlaps_;
    }

    int starts() const noexcept
    {
        return starts_;
    }

  private:
    struct active_task
    {
        time_point began;
        std::string submission;
    };

    std::map<std::string, std::map<std::size_t, active_task>> running_;
    std::vector<run_overlap> overlaps_;
    int starts_ = 0;
};

} // namespace agatebank
