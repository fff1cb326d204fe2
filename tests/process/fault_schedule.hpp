#pragma once

#include "small_cluster.hpp"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A fault that begins, lasts and ends.
struct timed_fault
{
    std::string name;
    std::string component; ///< process or link; two faults at once differ in it
    std::function<void(cluster_fixture&)> inject;
    std::function<void(cluster_fixture&)> remove;
};

/// @brief Every fault that the schedule draws from.
std::vector<timed_fault> all_faults(const cluster_options& options);

/// @brief Draws pairs of faults from a seed and runs them one pair at a time.
class fault_schedule
{
  public:
    // construction
    fault_schedule(cluster_fixture& t, uint64_t seed);

    // running
    /// @brief Runs one pair of faults to its end and lets the cluster settle.
    void run_round();

    // lookup
    /// @brief The pairs that were run, one a line.
    const std::string& history() const noexcept;

  private:
    duration draw_duration(duration min, duration max);

    cluster_fixture& fixture_;
    std::vector<timed_fault> faults_;
    std::mt19937_64 random_;
    std::string history_;
};

} // namespace agatebank
