#pragma once

#include <agatebank/core/execution_status.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/core/units.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace agatebank
{

/// @brief The final state of a job: complete with the answers of all tasks, or
/// failed.
struct job_settlement
{
    bool complete = false;
    execution_status status = execution_status::not_run;
    failure reason; ///< set when failed
    patience_name patience;
    price charged;                    ///< 0 when failed
    std::vector<std::string> answers; ///< in task order; empty when failed
    duration response_time{};         ///< from admission to settlement
    unsigned messages = 0;            ///< starts and reports exchanged
};

/// @brief Makes the JSON document that describes a settled job to its caller.
/// @param id text of the submission id
nlohmann::json to_json(const job_settlement& s, const std::string& id);

} // namespace agatebank
