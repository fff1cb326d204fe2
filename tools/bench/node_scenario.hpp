#pragma once

#include "scenarios.hpp"

namespace agatebank
{

/// @brief Load and size of the node scenario.
struct node_load
{
    unsigned jobs_per_s = 45;
    unsigned tasks = 4; ///< per job
    unsigned agents = 4;
    unsigned duration_s = 10;
    std::string log_level = "info"; ///< of all processes
    unsigned poll_spacing_us = 0;   ///< of the entry
    double processor_share = 0;     ///< cores, of the entry; 0: not limited
    /// a second entry serves the jobs, which the first one relays to it
    bool relay = false;
    /// entries without jobs of their own, which only receive load reports
    unsigned idle_entries = 0;
    unsigned idle_callers = 0; ///< open connections without requests
};

/// @brief Measures the processor time of one entry and its agents under a
/// constant load, with stand-ins for the store and the targets.
/// @throw std::runtime_error if the nodes do not become ready
std::vector<bench_row> measure_nodes(const node_load& load);

} // namespace agatebank
