#pragma once

#include "policies.hpp"
#include "scenarios.hpp"
#include "workload.hpp"

#include <cstdint>
#include <vector>

namespace agatebank::experiment
{

/// @brief How a job ended, as its client sees it.
enum class job_end
{
    pending,
    complete,
    refused, ///< not admitted, not run
    failed,  ///< a task failed or its target was lost
    late,    ///< the paid wait passed
    cancelled,
    entry_lost
};

/// @brief One job's record.
struct job_outcome
{
    unsigned patience = 0;
    unsigned entry = 0;
    bool always_fails = false;
    job_end end = job_end::pending;
    time_point sent;
    duration response{}; ///< until the client has the answer
    duration ideal{};
    duration size{}; ///< of all tasks, on a target of speed 1
    std::size_t tasks = 0;
};

/// @brief Messages between entries and agents.
struct message_counts
{
    uint64_t starts = 0;
    uint64_t useful_starts = 0;  ///< of jobs that were complete in time
    uint64_t refusals = 0;       ///< starts refused, not run
    uint64_t unused_answers = 0; ///< reports that nobody waited for
    uint64_t lost_starts = 0;    ///< to a dead agent
    uint64_t cancels = 0;
    uint64_t control = 0; ///< demand updates and grants

    /// @brief Messages that served no complete job: two for each refusal and
    /// unused answer, one for each lost start and cancellation.
    uint64_t wasted() const;
};

/// @brief All that one run gave.
struct run_result
{
    std::vector<job_outcome> jobs;
    message_counts messages;
    double goodput = 0; ///< work of complete jobs over the capacity
};

/// @brief The ideal response time of a job: two one-way delays to the client,
/// two from entry to agent, and the larger of its longest task on the fastest
/// target and all of its work on all slots.
duration ideal_response(const job_arrival& job, const site& s);

/// @brief Start of the measured time; earlier jobs are not counted.
constexpr duration warm_up = std::chrono::seconds(5);

/// @brief Runs one version under one scenario. The same arguments give the
/// same result.
run_result simulate(const site& s, const scenario& sc,
                    const policy_version& version);

} // namespace agatebank::experiment
