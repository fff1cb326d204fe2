#pragma once

#include "workload.hpp"

#include <string>
#include <vector>

namespace agatebank::experiment
{

/// @brief One of the two installations: its network and its targets.
struct site
{
    std::string name;
    duration between_processes{}; ///< one way, entry to agent
    duration to_clients{};        ///< one way, client to entry
    unsigned entries = 3;
    unsigned slots = 8;         ///< of each target
    std::vector<double> speeds; ///< one target each
    uint64_t seed = 1;

    /// @brief Total speed of all slots.
    double capacity() const;
    double fastest() const;
};

/// @brief What goes wrong in a run.
enum class fault_kind
{
    none,
    fast_failure, ///< the first target fails everything at once
    hang,         ///< the first target never answers
    slow_target,  ///< a target becomes six times slower
    cancellation, ///< 30 % of the jobs with waiting tasks are cancelled
    entry_lost,   ///< the first entry dies
    rack_lost     ///< the first three targets die
};

/// @brief One run: load and fault.
struct scenario
{
    std::string name;
    load_profile load;
    fault_kind fault = fault_kind::none;
    duration fault_from{};
    duration fault_to{};
    bool compares_variants = false;

    /// @brief Whether more is offered than the targets can run.
    bool is_saturated() const
    {
        return load.load * load.burst_factor > 1;
    }
};

std::vector<site> all_sites();
/// @param quick shorter runs, for the test
std::vector<scenario> all_scenarios(bool quick);

} // namespace agatebank::experiment
