#pragma once

#include <agatebank/core/units.hpp>

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// @file
/// The load that all versions are given, drawn from a seed.

namespace agatebank::experiment
{

/// @brief Seeded numbers that are the same with every standard library.
class random_source
{
  public:
    explicit random_source(uint64_t seed) : engine_(seed) {}

    /// @brief Evenly from 0 to 1.
    double uniform();
    /// @brief Evenly from a to b, both included.
    unsigned between(unsigned a, unsigned b);
    double exponential(double mean);
    double normal();

  private:
    std::mt19937_64 engine_;
};

/// @brief One line of the price list and the jobs that ask for it.
struct patience_class
{
    const char* name;
    duration wait;
    double share_of_work;
    double share_of_singles; ///< jobs of one task
    unsigned most_tasks;     ///< of the other jobs, from 2
};

/// @brief The classes, the dearest first.
extern const std::array<patience_class, 3> patience_classes;

/// @brief One job of the load.
struct job_arrival
{
    time_point at; ///< when the client sends it
    unsigned patience = 0;
    unsigned entry = 0;
    bool always_fails = false;
    std::vector<duration> sizes;    ///< run times on a target of speed 1
    std::vector<duration> declared; ///< off by up to 10 times both ways
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

/// @brief Draws the jobs. @param capacity total speed of all slots
std::vector<job_arrival> make_workload(const load_profile& profile,
                                       double capacity, unsigned entries,
                                       uint64_t seed);

} // namespace agatebank::experiment
