#pragma once

#include <string>
#include <vector>

namespace agatebank
{

/// @brief One figure of the bench.
struct bench_row
{
    std::string what;
    double value = 0;
    std::string unit;
    std::string target; ///< stated target, empty: none
};

/// @brief Sizes of the bench.
struct bench_sizes
{
    std::string example; ///< directory with inventory and rules
    unsigned latency_requests = 300;
    unsigned jobs = 100;
    unsigned job_tasks = 120;
    unsigned idle_s = 10;
};

/// @brief Added time of the whole path for one unloaded single-task request
/// over a direct call to the target: one entry, one agent, one target.
std::vector<bench_row> measure_latency(const bench_sizes& sizes);

/// @brief Processor time of entry and agents for jobs of many tasks, and the
/// rate of starts: one entry, ten agents.
std::vector<bench_row> measure_jobs(const bench_sizes& sizes);

/// @brief Processor time, memory and control traffic of idle processes.
/// @param entries number of entries each agent talks to
/// @param agents number of agents
std::vector<bench_row> measure_idle(const bench_sizes& sizes, unsigned entries,
                                    unsigned agents);

} // namespace agatebank
