#pragma once

#include <agatebank/cli/cli_command.hpp>
#include <agatebank/core/result.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace agatebank::detail
{

/// @brief Prints a failure as one line. @return its exit code
cli_exit_code report_failure(const cli_context& context, const failure& f);

/// @brief The failure that a problem document of an entry tells.
failure to_failure(const http_response& response, const std::string& step);

/// @brief Prints a problem document of an entry. @return its exit code
cli_exit_code report_problem(const cli_context& context,
                             const http_response& response);

/// @brief Parses the body of a response and hands it to @p print; prints the
/// problem of a refusal. `--json` prints the body as it is.
cli_exit_code print_response(
    const cli_context& context, const http_response& response,
    const std::function<cli_exit_code(const nlohmann::json&)>& print);

/// @brief Calls and, on success, parses the body and hands it to @p print;
/// `--json` prints the body as it is.
cli_exit_code call_and_print(
    const cli_context& context, const http_call& call,
    const std::function<cli_exit_code(const nlohmann::json&)>& print);

/// @brief Reads a whole file, or standard input when the name is "-".
/// @return errc::settings_unreadable when that fails
result<std::string> read_input(const cli_context& context,
                               const std::string& name);

/// @brief A member as text for people; empty when absent or null.
std::string member_text(const nlohmann::json& object, const char* name);

/// @brief Texts joined by commas.
std::string join(const nlohmann::json& texts);

} // namespace agatebank::detail
