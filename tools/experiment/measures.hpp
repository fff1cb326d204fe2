#pragma once

#include "simulation.hpp"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace agatebank::experiment
{

/// @brief Results of one patience class in one run. Jobs that always fail and
/// jobs sent during the warm-up are excluded.
struct class_measures
{
    std::size_t offered = 0;
    std::size_t admitted = 0;
    std::size_t in_time = 0; ///< completed within the paid wait
    std::size_t cancelled = 0;
    double median = 0; ///< ratio of response to ideal, jobs in time
    double p99 = 0;    ///< of the same ratio
    double worst = 0;  ///< of the same ratio

    /// @brief Share of the admitted, not cancelled jobs that were completed in
    /// time; 1 if there are none.
    double share_of_admitted() const;
    /// @brief Share of the offered, not cancelled jobs that were completed in
    /// time; 1 if there are none.
    double share_of_offered() const;
};

/// @brief Results of one run.
struct run_measures
{
    std::string site;
    std::string scenario;
    std::string version;
    std::array<class_measures, patience_classes.size()> classes;
    double goodput = 0;
    double wasted_per_start = 0;  ///< wasted messages per useful start
    double control_per_start = 0; ///< the same for demand updates and grants
    /// share of admitted jobs in time at the entries that are not lost
    double in_time_share_of_other_entries = 1;
    std::optional<duration> recovery; ///< time until recovery from a burst
};

/// @brief Computes the results of one run.
run_measures measure(const site& s, const scenario& sc,
                     const policy_version& version, const run_result& run);

/// @brief Cumulative distribution of the response times of the most expensive
/// class: for each ratio in @ref plotted_ratios, the share of the offered jobs
/// whose ratio of response to ideal time is at most this.
std::vector<double> answered_within(const run_result& run);
/// @brief Ratios of response to ideal time at which the plots have points.
extern const std::vector<double> plotted_ratios;

} // namespace agatebank::experiment
