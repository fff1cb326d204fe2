#pragma once

#include <string>
#include <vector>

namespace agatebank
{

/// @brief One measured figure.
struct bench_row
{
    std::string what;
    double value = 0;
    std::string unit;
    std::string target; ///< required value; empty if there is none
};

/// @brief Sizes of the scenarios.
struct bench_sizes
{
    std::string example; ///< directory with inventory and rules
    unsigned latency_requests = 300;
    unsigned jobs = 100;
    unsigned job_tasks = 120;
    unsigned idle_s = 10; ///< duration of the idle measurement
};

/// @brief Measures by how much a single-task request through the entry takes
/// longer than a direct call to the target, without other load: one entry, one
/// agent, one target.
std::vector<bench_row> measure_latency(const bench_sizes& sizes);

/// @brief Measures the processor time of the entry and the agents for jobs with
/// many tasks, and the rate of starts: one entry, ten agents.
std::vector<bench_row> measure_jobs(const bench_sizes& sizes);

/// @brief Measures processor time, memory and control traffic of idle
/// processes.
/// @param entries number of entries that each agent connects to
/// @param agents number of agents
std::vector<bench_row> measure_idle(const bench_sizes& sizes, unsigned entries,
                                    unsigned agents);

} // namespace agatebank
