#pragma once

#include "small_cluster.hpp"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A fault that is injected, lasts for a time and is removed.
struct timed_fault
{
    std::string name;
    std::string component; ///< affected process or link; not shared by
                           ///< two simultaneous faults
    std::function<void(cluster_fixture&)> inject;
    std::function<void(cluster_fixture&)> remove;
};

/// @brief Returns every fault that a schedule may choose.
std::vector<timed_fault> all_faults(const cluster_options& options);

/// @brief Chooses pairs of faults pseudo-randomly from a seed and runs one pair
/// at a time.
class fault_schedule
{
  public:
    // construction
    fault_schedule(cluster_fixture& t, uint64_t seed);

    // running
    /// @brief Injects and removes one pair of faults, then gives the cluster
    /// time to recover.
    void run_round();

    // lookup
    /// @brief Returns the pairs that were run, one per line.
    const std::string& history() const noexcept;

  private:
    duration draw_duration(duration min, duration max);

    cluster_fixture& fixture_;
    std::vector<timed_fault> faults_;
    std::mt19937_64 random_;
    std::string history_;
};

} // namespace agatebank
