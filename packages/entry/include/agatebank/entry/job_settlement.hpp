#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/core/run_fate.hpp>
#include <agatebank/core/units.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace agatebank
{

/// @brief How a job ended: with every answer, or failed.
struct job_settlement
{
    bool complete = false;
    run_fate fate = run_fate::not_run;
    failure reason; ///< of a failed job
    patience_name patience;
    price charged;                    ///< zero when failed
    std::vector<std::string> answers; ///< by task; empty when failed
    duration response_time{};         ///< from admission to settlement
    unsigned messages = 0;            ///< starts and reports exchanged
};

/// @brief The caller's view of a settled job.
/// @param id text of the submission id
nlohmann::json to_json(const job_settlement& s, const std::string& id);

} // namespace agatebank
