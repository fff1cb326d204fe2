#pragma once

#include "policies.hpp"
#include "scenarios.hpp"
#include "workload.hpp"

#include <cstdint>
#include <vector>

namespace agatebank::experiment
{

/// @brief How a job ended for its client.
enum class job_end
{
    pending,
    complete,
    refused, ///< not admitted and not run
    failed,  ///< a task failed or its target was lost
    late,    ///< not complete within the paid wait
    cancelled,
    entry_lost
};

/// @brief The outcome of one job.
struct job_outcome
{
    unsigned patience = 0;
    unsigned entry = 0;
    bool always_fails = false;
    job_end end = job_end::pending;
    time_point sent;
    duration response{}; ///< time until the client receives the answer
    duration ideal{};
    duration size{}; ///< total run time of all tasks at speed 1
    std::size_t tasks = 0;
};

/// @brief Counts of the messages between entries and agents.
struct message_counts
{
    uint64_t starts = 0;
    uint64_t useful_starts = 0;  ///< of jobs that were completed in time
    uint64_t refusals = 0;       ///< starts refused as not run
    uint64_t unused_answers = 0; ///< reports for jobs that had ended
    uint64_t lost_starts = 0;    ///< to an agent that had failed
    uint64_t cancels = 0;
    uint64_t control = 0; ///< demand updates and grants

    /// @brief Messages that contributed to no completed job: two for each
    /// refusal and unused answer, one for each lost start and cancellation.
    uint64_t wasted() const;
};

/// @brief Result of one run.
struct run_result
{
    std::vector<job_outcome> jobs;
    message_counts messages;
    double goodput = 0; ///< share of the capacity used by completed jobs
};

/// @brief The ideal response time of a job: twice the one-way delay between
/// client and entry, twice that between entry and agent, and the larger of the
/// run time of its longest task on the fastest target and the time that all
/// slots together need for all of its tasks.
duration ideal_response(const job_arrival& job, const site& s);

/// @brief Duration of the warm-up; jobs sent during it are not measured.
constexpr duration warm_up = std::chrono::seconds(5);

/// @brief Simulates one policy version in one scenario. Deterministic: the same
/// arguments give the same result.
run_result simulate(const site& s, const scenario& sc,
                    const policy_version& version);

} // namespace agatebank::experiment
