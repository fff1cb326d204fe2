#pragma once

#include <agatebank/core/units.hpp>

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// @file
/// The load, drawn from a seed, that is the same for all versions.

namespace agatebank::experiment
{

/// @brief Seeded random numbers that don't depend on the standard library: the
/// distributions of <random> differ between implementations.
class random_source
{
  public:
    explicit random_source(uint64_t seed) : engine_(seed) {}

    /// @brief Uniformly distributed in [0, 1).
    double uniform();
    /// @brief Uniformly distributed integer in [a, b].
    unsigned between(unsigned a, unsigned b);
    double exponential(double mean);
    double normal();

  private:
    std::mt19937_64 engine_;
};

/// @brief A patience class of the price list and the jobs that request it.
struct patience_class
{
    const char* name;
    duration wait;
    double share_of_work;
    double share_of_singles; ///< share of jobs with one task
    unsigned max_tasks;      ///< the other jobs have from 2 to this many tasks
};

/// @brief The classes, the most expensive first.
extern const std::array<patience_class, 3> patience_classes;

/// @brief A job of the load.
struct job_arrival
{
    time_point at; ///< when the client sends it
    unsigned patience = 0;
    unsigned entry = 0;
    bool always_fails = false;
    std::vector<duration> sizes;    ///< run times on a target of speed 1
    std::vector<duration> declared; ///< up to 10 times too long or too short
};

/// @brief Offered load over time, as a share of the targets' capacity.
struct load_profile
{
    double load = 0.8;
    duration length = std::chrono::seconds(60);
    double burst_factor = 1;
    duration burst_from{};
    duration burst_to{};
    double always_failing_jobs = 0; ///< share of the jobs
};

/// @brief Mean run time of a task on a target of speed 1, in seconds.
double mean_size_s();

/// @brief Draws the jobs in order of their times.
/// @param capacity total speed of all slots
std::vector<job_arrival> make_workload(const load_profile& profile,
                                       double capacity, unsigned entries,
                                       uint64_t seed);

} // namespace agatebank::experiment
