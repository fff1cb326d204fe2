#include "change_call.hpp"
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

std::string yes_or_no(const json& object, const char* name)
{
    return object.value(name, false) ? "yes" : "no";
}

cli_exit_code print_targets(const cli_context& context, const json& body)
{
    text_table table({"TARGET", "DOMAIN", "STATE", "LIVE", "TAKES_WORK",
                      "EJECTED", "SLOTS", "IN_FLIGHT", "SERVICES", "AGENT",
                      "VERSION"});
    for (const auto& t : body.at("targets"))
    {
        table.add({detail::member_text(t, "target"),
                   detail::member_text(t, "failure_domain"),
                   detail::member_text(t, "state"), yes_or_no(t, "live"),
                   yes_or_no(t, "accepts_work"), yes_or_no(t, "ejected"),
                   detail::member_text(t, "slots"),
                   detail::member_text(t, "in_flight"),
                   detail::join(t.at("services")),
                   detail::member_text(t, "agent"),
                   detail::member_text(t, "version")});
    }
    context.environment.out << table.to_string();
    return cli_exit_code::success;
}

cli_exit_code list_targets(const cli_context& context)
{
    http_call call;
    call.url = "/v1/admin/targets";
    return detail::call_and_print(context, call,
                                  [&](const json& body)
                                  {
                                      return context.json
                                                 ? cli_exit_code::success
                                                 : print_targets(context, body);
                                  });
}

std::string escape_segment(const std::string& text)
{
    char* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
    std::string out = escaped;
    g_free(escaped);
    return out;
}

// Makes the command that changes a target's state by the entry's operation of
// this name.
cli_command make_state_command(const std::string& operation,
                               const std::string& summary)
{
    po::options_description options;
    detail::add_change_options(options);
    const auto run = [operation](const cli_context& context)
    {
        http_call call;
        call.method = "POST";
        call.url = "/v1/admin/targets/" +
                   escape_segment(context.text("TARGET")) + "/" + operation;
        return detail::send_change(
            context, detail::read_change_arguments(context), call);
    };
    return {"target " + operation, summary, {"TARGET"}, options, true, run};
}

} // namespace

std::vector<cli_command> target_commands()
{
    return {{"target list",
             "print the targets and their state",
             {},
             {},
             true,
             list_targets},
            make_state_command("drain",
                               "send no new tasks, let running tasks finish"),
            make_state_command("start", "send tasks again"),
            make_state_command("stop", "send no tasks")};
}

} // namespace agatebank
