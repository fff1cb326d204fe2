#include "change_call.hpp"

#include "cli_output.hpp"
#include <agatebank/cli/text_table.hpp>

#include <iostream>

namespace agatebank::detail
{

namespace
{

using nlohmann::json;
namespace po = boost::program_options;

// Time for the entry to store the change, in addition to the wait until it is
// in force.
constexpr auto write_timeout = std::chrono::seconds(25);

cli_exit_code print_dry_run(const cli_context& context, const json& body)
{
    auto& out = context.environment.out;
    out << member_text(body, "summary") << "\n";
    text_table table({"PATH", "BEFORE", "AFTER"});
    for (const auto& item : body.at("difference"))
    {
        table.add({member_text(item, "path"), member_text(item, "before"),
                   member_text(item, "after")});
    }
    if (!body.at("difference").empty())
    {
        out << table.to_string();
    }
    return cli_exit_code::success;
}

void print_accepted(const cli_context& context, const json& body)
{
    auto& out = context.environment.out;
    out << "version " << member_text(body, "version") << ", change "
        << member_text(body, "change_id") << ": "
        << member_text(body, "summary") << "\n";
    const auto& in_force = body.at("in_force");
    for (const auto& p : in_force.at("processes"))
    {
        if (!p.value("in_force", false))
        {
            out << "not in force: " << member_text(p, "kind") << " "
                << member_text(p, "name") << " has version "
                << member_text(p, "version")
                << (p.value("reachable", false) ? "" : ", unreachable") << "\n";
        }
    }
    if (in_force.value("everywhere", false))
    {
        out << "in force in every live process\n";
    }
}

} // namespace

void add_change_options(po::options_description& options)
{
    auto add = options.add_options();
    add("dry-run", po::bool_switch(), "print the difference, change nothing");
    add("if-version", po::value<std::string>(),
        "refuse unless this version is the latest");
    add("wait-in-force-ms", po::value<uint64_t>()->default_value(10000),
        "time to wait until the change is in force in every process");
}

change_arguments read_change_arguments(const cli_context& context)
{
    return {context.flag("dry-run"), context.text("if-version"),
            context.number("wait-in-force-ms")};
}

cli_exit_code send_change(const cli_context& context,
                          const change_arguments& arguments, http_call call)
{
    const bool dry_run = arguments.dry_run;
    const auto wait = arguments.in_force_wait_ms;
    call.url +=
        dry_run ? "?dry_run=true" : "?wait_in_force_ms=" + std::to_string(wait);
    call.timeout = write_timeout + std::chrono::milliseconds(wait);
    call.may_resend = true;
    // Every attempt, also at another entry, carries the same change id, so that
    // the change is made once.
    call.headers.push_back(
        {"Agatebank-Change", context.environment.random_id()});
    const auto& version = arguments.required_version;
    if (!version.empty())
    {
        call.headers.push_back({"If-Match", "\"" + version + "\""});
    }
    return call_and_print(
        context, call,
        [&](const json& body)
        {
            if (dry_run)
            {
                return context.json ? cli_exit_code::success
                                    : print_dry_run(context, body);
            }
            if (!context.json)
            {
                print_accepted(context, body);
            }
            return body.at("in_force").value("everywhere", false)
                       ? cli_exit_code::success
                       : cli_exit_code::unfinished;
        });
}

} // namespace agatebank::detail
