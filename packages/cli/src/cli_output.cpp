#include "cli_output.hpp"

#include <agatebank/core/json_reader.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace agatebank::detail
{

namespace
{

using nlohmann::json;

constexpr unsigned status_client_error = 400;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_outcome_unknown = 504;

void print_conflict(std::ostream& err, const json& conflict)
{
    for (const auto& record : conflict.value("changes", json::array()))
    {
        err << "  version " << member_text(record, "version") << " by "
            << member_text(record, "changed_by") << ": "
            << member_text(record, "summary") << "\n";
    }
    for (const auto& item : conflict.value("difference", json::array()))
    {
        err << "  " << member_text(item, "path") << ": "
            << member_text(item, "before") << " -> "
            << member_text(item, "after") << "\n";
    }
}

cli_exit_code to_exit_code(unsigned status)
{
    switch (status)
    {
    case status_unavailable:
        return cli_exit_code::unreachable;
    case status_outcome_unknown:
        return cli_exit_code::outcome_unknown;
    default:
        return cli_exit_code::refused;
    }
}

// An invalid configuration and the request errors, numbers 300 to 399, are
// final, except not_ready and process_leaving; all other errors come from a
// process that is unavailable at present.
cli_exit_code to_exit_code(std::error_code ec)
{
    constexpr int first_request_error = 300;
    constexpr int first_task_error = 400;
    if (ec == errc::settings_unreadable)
    {
        return cli_exit_code::usage;
    }
    const bool unavailable =
        ec == errc::not_ready || ec == errc::process_leaving;
    const bool refused =
        ec == errc::configuration_invalid ||
        (ec.value() >= first_request_error && ec.value() < first_task_error);
    return refused && !unavailable ? cli_exit_code::refused
                                   : cli_exit_code::unreachable;
}

} // namespace

cli_exit_code report_failure(const cli_context& context, const failure& f)
{
    context.environment.err << "agatebank: " << f.to_string() << "\n";
    return to_exit_code(f.code);
}

failure to_failure(const http_response& response, const std::string& step)
{
    const auto problem = json::parse(response.body, nullptr, false);
    if (!problem.is_object() || !problem.contains("number"))
    {
        return {make_error_code(errc::request_malformed),
                step,
                {},
                "HTTP status " + std::to_string(response.status)};
    }
    const auto number = problem.value("number", 0);
    return {{number, error_category()},
            member_text(problem, "step"),
            member_text(problem, "peer"),
            member_text(problem, "detail")};
}

cli_exit_code report_problem(const cli_context& context,
                             const http_response& response)
{
    auto& env = context.environment;
    if (context.json)
    {
        env.out << response.body << "\n";
    }
    const auto problem = json::parse(response.body, nullptr, false);
    if (!problem.is_object())
    {
        env.err << "agatebank: HTTP status " << response.status << "\n";
        return to_exit_code(response.status);
    }
    env.err << "agatebank: " << member_text(problem, "step") << ": "
            << member_text(problem, "title") << " ("
            << member_text(problem, "code") << " "
            << member_text(problem, "number") << ")";
    const auto detail = member_text(problem, "detail");
    env.err << (detail.empty() ? "" : ": " + detail)
            << "; run: " << member_text(problem, "run") << "\n";
    print_conflict(env.err, problem.value("conflict", json::object()));
    return to_exit_code(response.status);
}

cli_exit_code
print_response(const cli_context& context, const http_response& response,
               const std::function<cli_exit_code(const json&)>& print)
{
    if (response.status >= status_client_error)
    {
        return report_problem(context, response);
    }
    const auto body = parse_json(response.body, "cli.read", "entry");
    if (!body)
    {
        return report_failure(context, body.error());
    }
    if (context.json)
    {
        context.environment.out << response.body << "\n";
    }
    return print(*body);
}

cli_exit_code
call_and_print(const cli_context& context, const http_call& call,
               const std::function<cli_exit_code(const json&)>& print)
{
    const auto answer = context.entries.call(call);
    return answer ? print_response(context, *answer, print)
                  : report_failure(context, answer.error());
}

result<std::string> read_input(const cli_context& context,
                               const std::string& name)
{
    using iterator = std::istreambuf_iterator<char>;
    if (name == "-")
    {
        return std::string(iterator(context.environment.in), iterator());
    }
    std::ifstream file(name, std::ios::binary);
    std::string text{iterator(file), iterator()};
    if (!file.is_open() || file.bad())
    {
        return fail(errc::settings_unreadable, "cli.read_file", name);
    }
    return text;
}

std::string member_text(const json& object, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end() || it->is_null())
    {
        return {};
    }
    return it->is_string() ? it->get<std::string>() : it->dump();
}

std::string join(const json& texts)
{
    std::string out;
    for (const auto& text : texts)
    {
        out += (out.empty() ? "" : ",") + text.get<std::string>();
    }
    return out;
}

} // namespace agatebank::detail
