#pragma once

#include "demo_plan.hpp"
#include <agatebank/harness/judge.hpp>

#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief What became of one job, as its caller saw it.
struct job_outcome
{
    const planned_job* planned = nullptr;
    std::string submission;
    caller_reply reply; ///< first reply that settles the job
    double response_ms = 0;
    bool settled = false;
};

/// @brief Submits the jobs of a plan at their times, some of them twice.
class demo_run
{
  public:
    // construction
    demo_run(event_loop& loop, cluster& nodes, const demo_plan& plan);

    // running
    /// @brief Runs to the last reply. @param progress gets a line a second
    void run(std::ostream& progress);

    // lookup
    const std::vector<job_outcome>& outcomes() const noexcept;
    const judge& verdict() const noexcept;

  private:
    void reserve();
    void begin(std::size_t i);
    void send(std::size_t i, std::size_t entry, bool first);
    void take(std::size_t i, const caller_reply& reply, bool first);
    void print_progress(std::ostream& out) const;

    event_loop& loop_;
    cluster& nodes_;
    const demo_plan& plan_;
    std::vector<std::unique_ptr<job_caller>> callers_;
    std::vector<job_outcome> outcomes_;
    judge verdict_;
    std::vector<watch> timers_;
    time_point started_;
    std::size_t begun_ = 0;
    std::size_t pending_ = 0;
};

} // namespace agatebank
