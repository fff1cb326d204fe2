#include "cli_output.hpp"
#include "event_reader.hpp"
#include <agatebank/cli/cli_command.hpp>
#include <agatebank/cli/text_table.hpp>
#include <agatebank/observe/timeline.hpp>

#include <glib.h>

#include <iostream>

namespace agatebank
{

namespace
{

using nlohmann::json;
namespace po = boost::program_options;

cli_exit_code print_status(const cli_context& context, const json& body)
{
    text_table table({"KIND", "NAME", "DOMAIN", "ADDRESS", "VERSION",
                      "REACHABLE", "LEAVING", "INCARNATION"});
    for (const auto& p : body.at("processes"))
    {
        table.add({detail::member_text(p, "kind"),
                   detail::member_text(p, "name"),
                   detail::member_text(p, "failure_domain"),
                   detail::member_text(p, "address"),
                   detail::member_text(p, "version"),
                   p.value("reachable", false) ? "yes" : "no",
                   p.value("leaving", false) ? "yes" : "no",
                   detail::member_text(p, "incarnation")});
    }
    context.environment.out << "configuration version "
                            << detail::member_text(body, "version")
                            << (body.value("everywhere", false)
                                    ? ", in force in every live process\n"
                                    : ", not yet in force everywhere\n")
                            << table.to_string();
    return cli_exit_code::success;
}

cli_exit_code show_status(const cli_context& context)
{
    http_call call;
    call.url = "/v1/admin/status";
    return detail::call_and_print(context, call,
                                  [&](const json& body)
                                  {
                                      return context.json
                                                 ? cli_exit_code::success
                                                 : print_status(context, body);
                                  });
}

cli_exit_code show_history(const cli_context& context)
{
    http_call call;
    call.url = "/v1/admin/configuration/history";
    return detail::call_and_print(
        context, call,
        [&](const json& body)
        {
            text_table table({"VERSION", "CHANGE", "BY", "SUMMARY"});
            for (const auto& r : body.at("history"))
            {
                table.add({detail::member_text(r, "version"),
                           detail::member_text(r, "change_id"),
                           detail::member_text(r, "changed_by"),
                           detail::member_text(r, "summary")});
            }
            if (!context.json)
            {
                context.environment.out << table.to_string();
            }
            return cli_exit_code::success;
        });
}

void add_query_parameter(std::string& url, const char* name,
                         const std::string& value)
{
    if (!value.empty())
    {
        char* escaped = g_uri_escape_string(value.c_str(), nullptr, FALSE);
        url += (url.find('?') == std::string::npos ? "?" : "&") +
               std::string(name) + "=" + escaped;
        g_free(escaped);
    }
}

cli_exit_code print_timeline(const cli_context& context, const json& body,
                             const std::string& format)
{
    auto& out = context.environment.out;
    if (format == "json")
    {
        out << body.dump() << "\n";
        return cli_exit_code::success;
    }
    const auto events = detail::read_events(body);
    if (!events)
    {
        return detail::report_failure(context, events.error());
    }
    const auto merged = merge_events({*events});
    out << (format == "chrome" ? to_chrome_trace(merged).dump() + "\n"
                               : to_table(merged));
    return cli_exit_code::success;
}

cli_exit_code show_timeline(const cli_context& context)
{
    const auto format = context.text("format");
    if (format != "table" && format != "json" && format != "chrome")
    {
        context.environment.err << "agatebank: --format: found \"" << format
                                << "\", expected table, json or chrome\n";
        return cli_exit_code::usage;
    }
    http_call call;
    call.url = "/v1/admin/timeline";
    add_query_parameter(call.url, "submission", context.text("submission"));
    add_query_parameter(call.url, "target", context.text("target"));
    add_query_parameter(call.url, "from_us", context.text("from"));
    add_query_parameter(call.url, "to_us", context.text("to"));
    return detail::call_and_print(
        context, call,
        [&](const json& body)
        {
            return context.json ? cli_exit_code::success
                                : print_timeline(context, body, format);
        });
}

} // namespace

std::vector<cli_command> status_commands()
{
    po::options_description timeline_options;
    auto add = timeline_options.add_options();
    add("submission", po::value<std::string>(),
        "only events of this submission");
    add("target", po::value<std::string>(), "only events at this target");
    add("from", po::value<std::string>(),
        "earliest time, microseconds since the Unix epoch");
    add("to", po::value<std::string>(),
        "latest time, microseconds since the Unix epoch");
    add("format", po::value<std::string>()->default_value("table"),
        "table, json or chrome");
    return {{"status",
             "print every process and its configuration version",
             {},
             {},
             true,
             show_status},
            {"config history",
             "print the latest changes of the configuration",
             {},
             {},
             true,
             show_history},
            {"timeline",
             "print the events of all processes in order of time",
             {},
             timeline_options,
             true,
             show_timeline}};
}

} // namespace agatebank
