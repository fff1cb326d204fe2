#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/daemon/command_line.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace agatebank
{

/// @brief Validates the settings of an entry that is not deployed by the
/// platform and runs it until it is stopped.
/// @param settings the parsed settings file
/// @param file path of the settings file, named in failures
/// @param check_only validate the settings, report the result and return
/// @return the exit code, or the failure that prevented the start
result<exit_code> run_entry(const nlohmann::json& settings,
                            const std::string& file, bool check_only);

/// @brief Validates the settings of an agent that is not deployed by the
/// platform and runs it until it is stopped; see @ref run_entry.
result<exit_code> run_agent(const nlohmann::json& settings,
                            const std::string& file, bool check_only);

} // namespace agatebank
