#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/harness/cluster.hpp>
#include <agatebank/harness/job_request.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief When a job is submitted a second time, through another entry.
enum class resubmission
{
    none,
    same_moment,
    during_run,
    after_answer
};

/// @brief One job of the demo.
struct planned_job
{
    job_request job;
    duration at{}; ///< after the start of the load
    std::size_t entry = 0;
    std::size_t caller = 0;
    resubmission again = resubmission::none;
    std::size_t again_entry = 0;
    double ideal_ms = 0; ///< longest task on the fastest suitable target
};

/// @brief An example directory, read and made into a cluster and a load.
struct demo_plan
{
    cluster_options cluster;
    std::string inventory_file;
    std::string rules_file;
    std::vector<std::string> caller_tokens;
    std::string currency;
    std::vector<std::string> patience; ///< in the order of the price list
    std::vector<planned_job> jobs;     ///< by time
};

/// @brief Reads `inventory.json`, `rules.json` and `demo.json`.
/// @param directory of the example
/// @param seed of arrival times, run times and resubmissions
/// @throw std::exception when a file is missing or malformed
demo_plan read_plan(const std::string& directory, uint64_t seed);

} // namespace agatebank
