#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/harness/cluster.hpp>
#include <agatebank/harness/job_request.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief When a job is submitted again through another entry, under the same
/// submission id.
enum class resubmission
{
    none,
    same_moment, ///< together with the first submission
    during_run,  ///< while its tasks are running
    after_answer ///< after the reply to the first submission
};

/// @brief A job of the demo and the time of its submission.
struct planned_job
{
    job_request job;
    duration at{};          ///< submission time after the start of the load
    std::size_t entry = 0;  ///< index of the entry
    std::size_t caller = 0; ///< index of the caller's token
    resubmission resubmitted = resubmission::none;
    std::size_t resubmission_entry = 0;
    double ideal_ms = 0; ///< longest task on the fastest suitable target
};

/// @brief Cluster and load that an example directory describes.
struct demo_plan
{
    cluster_options cluster;
    std::string inventory_file;
    std::string rules_file;
    std::vector<std::string> caller_tokens;
    std::string currency;
    std::vector<std::string> patience; ///< in the order of the price list
    std::vector<planned_job> jobs;     ///< in order of submission time
};

/// @brief Reads `inventory.json`, `rules.json` and `demo.json`.
/// @param directory directory of the example
/// @param seed seed of arrival times, run times and resubmissions
/// @throw std::exception if a file is missing or malformed
demo_plan read_plan(const std::string& directory, uint64_t seed);

} // namespace agatebank
