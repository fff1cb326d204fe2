#pragma once

#include "simulation.hpp"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace agatebank::experiment
{

/// @brief Figures of one patience class in one run. Jobs that can never run
/// and jobs sent during the warm-up are left out.
struct class_measures
{
    std::size_t offered = 0;
    std::size_t admitted = 0;
    std::size_t in_time = 0; ///< complete inside the paid wait
    std::size_t cancelled = 0;
    double median = 0; ///< response over the ideal, of those in time
    double p99 = 0;
    double worst = 0;

    /// @brief In time, of those admitted and not cancelled; 1 if none.
    double share_of_admitted() const;
    /// @brief In time, of those offered and not cancelled; 1 if none.
    double share_of_offered() const;
};

/// @brief Figures of one run.
struct run_measures
{
    std::string site;
    std::string scenario;
    std::string version;
    std::array<class_measures, patience_classes.size()> classes;
    double goodput = 0;
    double wasted_per_start = 0;      ///< wasted messages per useful start
    double control_per_start = 0;     ///< demand updates and grants
    double wait_share_of_others = 1;  ///< in time at entries that live
    std::optional<duration> recovery; ///< after a burst
};

run_measures measure(const site& s, const scenario& sc,
                     const policy_version& version, const run_result& run);

/// @brief Share of a run's dearest jobs by response over the ideal: at each
/// ratio of @ref plotted_ratios the share of the offered jobs answered
/// within it.
std::vector<double> answered_within(const run_result& run);
extern const std::vector<double> plotted_ratios;

} // namespace agatebank::experiment
