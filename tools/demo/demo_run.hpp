#pragma once

#include "demo_plan.hpp"
#include <agatebank/harness/judge.hpp>

#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief The outcome of a job as its caller received it.
struct job_outcome
{
    const planned_job* planned = nullptr;
    std::string submission;
    caller_reply reply; ///< reply that arrived first
    double response_ms = 0;
    bool settled = false; ///< whether a reply has arrived
};

/// @brief Submits the jobs of a plan at their planned times, some of them
/// twice.
class demo_run
{
  public:
    // construction
    demo_run(event_loop& loop, cluster& nodes, const demo_plan& plan);

    // running
    /// @brief Runs the loop until all replies have arrived.
    /// @param progress receives a progress line every second
    /// @throw std::runtime_error if submission ids cannot be reserved, or if
    /// replies are missing after 50 s
    void run(std::ostream& progress);

    // lookup
    const std::vector<job_outcome>& outcomes() const noexcept;
    const judge& reply_judge() const noexcept;

  private:
    void reserve_ids();
    void submit_job(std::size_t i);
    void send(std::size_t i, std::size_t entry, bool first);
    void on_reply(std::size_t i, const caller_reply& reply, bool first);
    void print_progress(std::ostream& out) const;

    event_loop& loop_;
    cluster& nodes_;
    const demo_plan& plan_;
    std::vector<std::unique_ptr<job_caller>> callers_;
    std::vector<job_outcome> outcomes_;
    judge judge_;
    std::vector<watch> timers_;
    time_point started_;
    std::size_t submitted_ = 0;
    std::size_t pending_ = 0;
};

} // namespace agatebank
