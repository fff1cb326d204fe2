#include "cli_output.hpp"
#include "id_file.hpp"
#include <agatebank/cli/cli_command.hpp>
#include <agatebank/core/json_reader.hpp>

#include <glib.h>

#include <algorithm>
#include <iostream>

namespace agatebank
{

namespace
{

using nlohmann::json;
namespace po = boost::program_options;

constexpr uint64_t max_poll_ms = 20000;
// Time for a response in addition to the long poll.
constexpr auto response_margin = std::chrono::seconds(10);

std::string format_answer(const json& answer)
{
    if (answer.contains("body"))
    {
        return detail::member_text(answer, "body");
    }
    const auto text = detail::member_text(answer, "base64");
    return text.empty() ? detail::member_text(answer, "problem")
                        : "base64:" + text;
}

void print_job(const cli_context& context, const json& job)
{
    auto& out = context.environment.out;
    out << "submission " << detail::member_text(job, "submission") << ": "
        << detail::member_text(job, "state");
    for (const char* name : {"patience", "price", "response_ms", "run"})
    {
        const auto value = detail::member_text(job, name);
        out << (value.empty() ? "" : std::string(", ") + name + " " + value);
    }
    out << "\n";
    if (job.contains("problem"))
    {
        const auto& problem = job.at("problem");
        out << "problem: " << detail::member_text(problem, "step") << ": "
            << detail::member_text(problem, "title") << " "
            << detail::member_text(problem, "detail") << "\n";
    }
    for (const auto& answer : job.value("answers", json::array()))
    {
        out << format_answer(answer) << "\n";
    }
}

cli_exit_code to_exit_code(const json& job)
{
    const auto state = detail::member_text(job, "state");
    if (state == "complete")
    {
        return cli_exit_code::success;
    }
    return state == "running" ? cli_exit_code::unfinished
                              : cli_exit_code::job_failed;
}

cli_exit_code report_job(const cli_context& context, const json& job)
{
    if (!context.json)
    {
        print_job(context, job);
    }
    return to_exit_code(job);
}

std::string submission_path(const std::string& id, uint64_t wait_ms)
{
    char* escaped = g_uri_escape_string(id.c_str(), nullptr, FALSE);
    std::string out = "/v1/submissions/" + std::string(escaped) +
                      "?wait_ms=" + std::to_string(wait_ms);
    g_free(escaped);
    return out;
}

// Repeats a call as a long poll until the job has ended or the time is over,
// and prints the last response.
cli_exit_code poll_job(const cli_context& context, http_call call,
                       const std::string& id, uint64_t total_ms)
{
    constexpr unsigned status_running = 202;
    uint64_t remaining_ms = total_ms;
    result<http_response> answer = fail(errc::peer_unreachable, "job.poll", id);
    do
    {
        const auto wait_ms = std::min(remaining_ms, max_poll_ms);
        remaining_ms -= wait_ms;
        call.url = submission_path(id, wait_ms);
        call.timeout = response_margin + std::chrono::milliseconds(wait_ms);
        answer = context.entries.call(call);
    } while (answer && answer->status == status_running && remaining_ms > 0);
    if (!answer)
    {
        return detail::report_failure(context, answer.error());
    }
    return detail::print_response(context, *answer,
                                  [&](const json& job)
                                  { return report_job(context, job); });
}

result<std::string> reserve_id(const cli_context& context)
{
    http_call call;
    call.method = "POST";
    call.url = "/v1/submissions?count=1";
    const auto answer = context.entries.call(call);
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    const auto body = json::parse(answer->body, nullptr, false);
    const json::json_pointer first("/submissions/0");
    if (!body.is_object() || !body.contains(first))
    {
        return tl::unexpected(detail::to_failure(*answer, "job.reserve"));
    }
    return body.at(first).get<std::string>();
}

// Returns the id stored in the file that --store-id names, or reserves one and
// stores it before it is used, so that a restarted client sends the same
// submission.
result<std::string> obtain_id(const cli_context& context)
{
    const auto file = context.text("store-id");
    if (!file.empty())
    {
        auto stored = detail::read_id_file(file);
        if (!stored.empty())
        {
            return stored;
        }
    }
    auto id = reserve_id(context);
    if (!id || file.empty())
    {
        return id;
    }
    const auto written = detail::write_id_file(file, *id);
    if (!written)
    {
        return tl::unexpected(written.error());
    }
    return id;
}

cli_exit_code submit_job(const cli_context& context)
{
    const auto body = detail::read_input(context, context.text("FILE"));
    if (!body)
    {
        return detail::report_failure(context, body.error());
    }
    const auto id = obtain_id(context);
    if (!id)
    {
        return detail::report_failure(context, id.error());
    }
    http_call call;
    call.method = "PUT";
    call.body = *body;
    return poll_job(context, call, *id, context.number("wait-ms"));
}

cli_exit_code show_job(const cli_context& context)
{
    return poll_job(context, {}, context.text("SUBMISSION"),
                    context.number("wait-ms"));
}

cli_exit_code cancel_job(const cli_context& context)
{
    http_call call;
    call.method = "DELETE";
    call.url = submission_path(context.text("SUBMISSION"), 0);
    const auto answer = context.entries.call(call);
    if (!answer)
    {
        return detail::report_failure(context, answer.error());
    }
    return detail::print_response(context, *answer,
                                  [&](const json& job)
                                  {
                                      if (!context.json)
                                      {
                                          print_job(context, job);
                                      }
                                      return cli_exit_code::success;
                                  });
}

po::options_description wait_option(uint64_t default_ms)
{
    po::options_description out;
    out.add_options()("wait-ms",
                      po::value<uint64_t>()->default_value(default_ms),
                      "time to wait for the job's answers");
    return out;
}

} // namespace

std::vector<cli_command> job_commands()
{
    auto submit_options = wait_option(60000);
    submit_options.add_options()(
        "store-id", po::value<std::string>(),
        "file for the submission id, written before the job is sent; "
        "if it holds an id already, the job is sent under that id");
    return {
        {"job submit",
         "send a job (JSON file, - for standard input) and wait",
         {"FILE"},
         submit_options,
         true,
         submit_job},
        {"job show",
         "print a job",
         {"SUBMISSION"},
         wait_option(0),
         true,
         show_job},
        {"job cancel", "cancel a job", {"SUBMISSION"}, {}, true, cancel_job}};
}

} // namespace agatebank
