#include "change_call.hpp"
#include "cli_output.hpp"
#include <agatebank/cli/cli_command.hpp>
#include <agatebank/cli/text_table.hpp>

#include <iostream>

namespace agatebank
{

namespace
{

using nlohmann::json;
namespace po = boost::program_options;

cli_exit_code put_rules(const cli_context& context,
                        const detail::change_arguments& arguments)
{
    const auto text = detail::read_input(context, context.text("FILE"));
    if (!text)
    {
        return detail::report_failure(context, text.error());
    }
    http_call call;
    call.method = "PUT";
    call.url = "/v1/admin/rules";
    call.body = *text;
    return detail::send_change(context, arguments, call);
}

std::string format_services(const json& rules)
{
    text_table table({"SERVICE", "LABELS", "ACCELERATORS", "NEVER_DELAY",
                      "RESERVED", "RESTART_UNKNOWN"});
    for (const auto& s : rules.at("services"))
    {
        table.add({detail::member_text(s, "name"),
                   detail::join(s.at("required_labels")),
                   detail::member_text(s, "min_accelerators"),
                   detail::member_text(s, "never_delay"),
                   detail::member_text(s, "reserved_slots"),
                   detail::member_text(s, "restart_unknown")});
    }
    return table.to_string();
}

std::string format_patience(const json& rules)
{
    text_table table({"PATIENCE", "WAIT_MS", "PRICE_PER_TASK"});
    for (const auto& p : rules.at("patience"))
    {
        table.add({detail::member_text(p, "name"),
                   detail::member_text(p, "wait_ms"),
                   detail::member_text(p, "price_per_task")});
    }
    return table.to_string();
}

std::string format_token_holders(const json& rules)
{
    text_table table({"NAME", "KIND", "MAX_QUEUED_TASKS"});
    for (const auto& c : rules.at("callers"))
    {
        table.add({detail::member_text(c, "name"), "caller",
                   detail::member_text(c, "max_queued_tasks")});
    }
    for (const auto& o : rules.at("operators"))
    {
        table.add({detail::member_text(o, "name"), "operator", ""});
    }
    return table.to_string();
}

cli_exit_code show_rules(const cli_context& context)
{
    http_call call;
    call.url = "/v1/admin/rules";
    return detail::call_and_print(
        context, call,
        [&](const json& rules)
        {
            if (!context.json)
            {
                const auto& weights = rules.at("weights");
                context.environment.out
                    << format_services(rules) << "\n"
                    << format_patience(rules) << "\n"
                    << format_token_holders(rules) << "\nweights: response "
                    << detail::member_text(weights, "response") << ", waste "
                    << detail::member_text(weights, "waste") << "\n";
            }
            return cli_exit_code::success;
        });
}

cli_exit_code apply_rules(const cli_context& context)
{
    return put_rules(context, detail::read_change_arguments(context));
}

cli_exit_code diff_rules(const cli_context& context)
{
    detail::change_arguments arguments;
    arguments.dry_run = true;
    return put_rules(context, arguments);
}

} // namespace

std::vector<cli_command> rules_commands()
{
    po::options_description apply_options;
    detail::add_change_options(apply_options);
    return {{"rules apply",
             "replace the rules with a JSON file",
             {"FILE"},
             apply_options,
             true,
             apply_rules},
            {"rules show", "print the rules", {}, {}, true, show_rules},
            {"rules diff",
             "print what applying a JSON file would change",
             {"FILE"},
             {},
             true,
             diff_rules}};
}

} // namespace agatebank
