#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/daemon/command_line.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace agatebank
{

/// @brief Runs an entry that is deployed by the platform until stopped.
/// @param check_only validate the settings only
/// @return the exit code, or why it could not start
result<exit_code> run_entry_node(const nlohmann::json& settings,
                                 const std::string& file, bool check_only);

/// @brief Runs an agent that is deployed by the platform; see
/// @ref run_entry_node.
result<exit_code> run_agent_node(const nlohmann::json& settings,
                                 const std::string& file, bool check_only);

} // namespace agatebank
