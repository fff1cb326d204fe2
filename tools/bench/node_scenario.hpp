#pragma once

#include "scenarios.hpp"

namespace agatebank
{

/// @brief Load of the node scenario.
struct node_load
{
    unsigned jobs_per_s = 45;
    unsigned tasks = 4;
    unsigned agents = 4;
    unsigned duration_s = 10;
    std::string log_level = "info"; ///< of all processes
};

/// @brief Processor time of one entry and its agents for a steady load on the
/// path with stand-ins of store and targets.
std::vector<bench_row> measure_nodes(const node_load& load);

} // namespace agatebank
