#pragma once

#include <agatebank/cli/cli_command.hpp>
#include <agatebank/core/result.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace agatebank::detail
{

/// @brief Prints a failure on one line of the error stream.
/// @return its exit code
cli_exit_code report_failure(const cli_context& context, const failure& f);

/// @brief Converts the problem document of an entry's response to a failure.
/// @param step used when the response holds no problem document
failure to_failure(const http_response& response, const std::string& step);

/// @brief Prints the problem document of an entry's response.
/// @return its exit code
cli_exit_code report_problem(const cli_context& context,
                             const http_response& response);

/// @brief Parses the body of a response and passes it to @p print, or prints
/// the problem of an error response. With `--json`, also prints the body
/// unchanged.
/// @param print prints the body as text unless `--json` is given, and returns
/// the exit code
cli_exit_code print_response(
    const cli_context& context, const http_response& response,
    const std::function<cli_exit_code(const nlohmann::json&)>& print);

/// @brief Sends a request and passes the response to @ref print_response, or
/// prints the failure when there is none.
cli_exit_code call_and_print(
    const cli_context& context, const http_call& call,
    const std::function<cli_exit_code(const nlohmann::json&)>& print);

/// @brief Reads a whole file, or standard input when the name is "-".
/// @return errc::settings_unreadable when that fails
result<std::string> read_input(const cli_context& context,
                               const std::string& name);

/// @brief Returns a member of an object as text; empty when absent or null.
std::string member_text(const nlohmann::json& object, const char* name);

/// @brief Joins an array of strings with commas.
std::string join(const nlohmann::json& texts);

} // namespace agatebank::detail
