#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/daemon/command_line.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace agatebank
{

/// @brief Validates the settings of an entry and runs it until stopped.
/// @param check_only validate the settings only
/// @return the exit code, or why it could not start
result<exit_code> run_entry(const nlohmann::json& settings,
                            const std::string& file, bool check_only);

/// @brief Validates the settings of an agent and runs it until stopped; see
/// @ref run_entry.
result<exit_code> run_agent(const nlohmann::json& settings,
                            const std::string& file, bool check_only);

} // namespace agatebank
