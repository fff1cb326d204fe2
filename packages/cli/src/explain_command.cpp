#include "cli_output.hpp"
#include <agatebank/cli/cli_command.hpp>
#include <agatebank/cli/text_table.hpp>

#include <glib.h>

#include <iostream>

namespace agatebank
{

namespace
{

using nlohmann::json;
namespace po = boost::program_options;

constexpr const char* step_read = "cli.read";

std::string ms_text(const json& object, const char* name)
{
    const auto value = detail::member_text(object, name);
    return value.empty() ? "unknown" : value + " ms";
}

std::string explain_path(const std::string& path)
{
    char* escaped = g_uri_escape_string(path.c_str(), nullptr, FALSE);
    std::string out = "/v1/explain?path=" + std::string(escaped);
    g_free(escaped);
    return out;
}

void print_summary(std::ostream& out, const json& body)
{
    const auto text = [&body](const char* name)
    {
        return detail::member_text(body, name);
    };
    out << text("verdict") << ": " << text("reason") << "\n"
        << "job " << text("job") << " of route " << text("route")
        << ", configuration version " << text("configuration_version") << "\n"
        << "expected end in " << ms_text(body, "expected_end_ms")
        << ", objective in " << ms_text(body, "objective_ms")
        << ", last useful end in " << ms_text(body, "last_useful_end_ms")
        << "\n"
        << "tasks: " << text("startable_tasks") << " can start now, "
        << text("unplaced_tasks") << " of them without a target; "
        << text("later_tasks") << " wait for others\n"
        << "targets: " << text("known_targets") << " known, "
        << text("evacuated_targets") << " in evacuated failure domains\n";
    if (body.value("first_task_alone", false))
    {
        out << "the route is on probation: one task runs alone first\n";
    }
    if (body.value("may_be_relayed", false))
    {
        out << "this entry exceeds its processor share and may relay the job "
               "to another entry, which then decides\n";
    }
    if (body.contains("retry_after_ms"))
    {
        out << "retry after " << ms_text(body, "retry_after_ms") << "\n";
    }
}

void add_target(text_table& table, const json& task, const char* what,
                const json& target)
{
    const auto age = detail::member_text(target, "load_age_ms");
    table.add({detail::member_text(task, "step"),
               detail::member_text(task, "task"), what,
               detail::member_text(target, "target"),
               age.empty() ? "no report" : age,
               detail::member_text(target, "decided_by"),
               detail::member_text(target, "rank")});
}

void print_tasks(std::ostream& out, const json& tasks)
{
    text_table table({"STEP", "TASK", "CHOICE", "TARGET", "LOAD_AGE_MS",
                      "DECIDED_BY", "DETAILS"});
    for (const auto& it : tasks)
    {
        const bool is_placed = !it.at("chosen").is_null();
        add_target(table, it,
                   !is_placed                      ? "none"
                   : it.value("runs_alone", false) ? "chosen, alone"
                                                   : "chosen",
                   is_placed ? it.at("chosen") : json{{"load_age_ms", "-"}});
        if (it.contains("locality"))
        {
            table.add({detail::member_text(it, "step"),
                       detail::member_text(it, "task"), "locality", "", "", "",
                       detail::member_text(it, "locality")});
        }
        for (const auto& target : it.at("passed_over"))
        {
            add_target(table, it, "passed over", target);
        }
        table.add({detail::member_text(it, "step"),
                   detail::member_text(it, "task"), "unusable", "", "", "",
                   detail::member_text(it, "unusable_targets") + " targets"});
    }
    out << table.to_string();
}

cli_exit_code print_explanation(const cli_context& context, const json& body)
{
    if (context.json)
    {
        return cli_exit_code::success;
    }
    auto& out = context.environment.out;
    try
    {
        print_summary(out, body);
        if (!body.at("tasks").empty())
        {
            print_tasks(out, body.at("tasks"));
        }
        const auto more = body.value("undescribed_tasks", uint64_t{0});
        if (more != 0)
        {
            out << more << " more tasks are not described\n";
        }
    }
    catch (const json::exception& e)
    {
        return detail::report_failure(context,
                                      {make_error_code(errc::request_malformed),
                                       step_read, "entry", e.what()});
    }
    return cli_exit_code::success;
}

cli_exit_code explain_job(const cli_context& context)
{
    const auto job = detail::read_input(context, context.text("job"));
    if (!job)
    {
        return detail::report_failure(context, job.error());
    }
    http_call call;
    call.method = "POST";
    call.url = explain_path(context.text("path"));
    call.headers.push_back({"Host", context.text("host")});
    const auto wait = context.number("deadline-ms");
    if (wait != 0)
    {
        call.headers.push_back({"Deadline-Ms", std::to_string(wait)});
    }
    call.body = *job;
    return detail::call_and_print(context, call,
                                  [&context](const json& body)
                                  { return print_explanation(context, body); });
}

} // namespace

std::vector<cli_command> explain_commands()
{
    po::options_description options;
    auto add = options.add_options();
    add("path", po::value<std::string>()->required(),
        "path of the job's request: the prefix of its route and the job's id");
    add("host", po::value<std::string>()->required(),
        "header Host of the job's request");
    add("job", po::value<std::string>()->required(),
        "file with the body of the job's request; - is standard input");
    add("deadline-ms", po::value<uint64_t>()->default_value(0),
        "time that the caller waits; 0: the default of the route");
    return {{"explain",
             "explain where a job would go now, without sending it",
             {},
             options,
             true,
             explain_job}};
}

} // namespace agatebank
