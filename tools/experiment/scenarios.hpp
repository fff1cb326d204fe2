#pragma once

#include "workload.hpp"

#include <string>
#include <vector>

namespace agatebank::experiment
{

/// @brief A simulated installation: network delays, entries and targets.
struct site
{
    std::string name;
    duration between_processes{}; ///< one-way delay from entry to agent
    duration to_clients{};        ///< one-way delay from client to entry
    unsigned entries = 3;
    unsigned slots = 8;         ///< of each target
    std::vector<double> speeds; ///< speed of each target
    uint64_t seed = 1;

    /// @brief Total speed of all slots.
    double capacity() const;
    /// @brief Speed of the fastest target.
    double max_speed() const;
};

/// @brief Fault that is injected into a run.
enum class fault_kind
{
    none,
    fast_failure, ///< the first target fails every task at once
    hang,         ///< the first target never answers
    slow_target,  ///< one target becomes six times slower
    cancellation, ///< 30 % of the jobs with waiting tasks are cancelled
    entry_lost,   ///< the first entry fails
    rack_lost     ///< the agents of the first three targets fail
};

/// @brief Load and fault of a run.
struct scenario
{
    std::string name;
    load_profile load;
    fault_kind fault = fault_kind::none;
    duration fault_from{};
    duration fault_to{};
    bool compares_variants = false; ///< also run with the variants

    /// @brief Whether the offered load exceeds the capacity at some time.
    bool is_saturated() const
    {
        return load.load * load.burst_factor > 1;
    }
};

std::vector<site> all_sites();
/// @param quick whether runs are short, as the tests need them
std::vector<scenario> all_scenarios(bool quick);

} // namespace agatebank::experiment
