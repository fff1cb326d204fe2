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

bool is_csv(const cli_context& context, const std::string& file)
{
    const auto format = context.text("format");
    return format.empty() ? file.size() > 4 &&
                                file.compare(file.size() - 4, 4, ".csv") == 0
                          : format == "csv";
}

cli_exit_code import_inventory(const cli_context& context)
{
    const auto file = context.text("FILE");
    const auto text = detail::read_input(context, file);
    if (!text)
    {
        return detail::report_failure(context, text.error());
    }
    http_call call;
    call.method = "PUT";
    call.url = "/v1/admin/inventory";
    call.body = *text;
    call.content_type = is_csv(context, file) ? "text/csv" : "application/json";
    return detail::send_change(context, detail::read_change_arguments(context),
                               call);
}

cli_exit_code print_inventory(const cli_context& context, const json& body)
{
    text_table table({"TARGET", "WORKER", "RACK", "DOMAIN", "CORES",
                      "MEMORY_MIB", "ACCELERATORS", "SLOTS", "LABELS"});
    for (const auto& row : body.at("inventory"))
    {
        table.add({detail::member_text(row, "target"),
                   detail::member_text(row, "worker"),
                   detail::member_text(row, "rack"),
                   detail::member_text(row, "failure_domain"),
                   detail::member_text(row, "cores"),
                   detail::member_text(row, "memory_mib"),
                   detail::member_text(row, "accelerators"),
                   detail::member_text(row, "slots"),
                   detail::join(row.at("labels"))});
    }
    context.environment.out << table.to_string();
    return cli_exit_code::success;
}

cli_exit_code show_inventory(const cli_context& context)
{
    http_call call;
    call.url = "/v1/admin/inventory";
    return detail::call_and_print(
        context, call,
        [&](const json& body)
        {
            return context.json ? cli_exit_code::success
                                : print_inventory(context, body);
        });
}

} // namespace

std::vector<cli_command> inventory_commands()
{
    po::options_description import_options;
    import_options.add_options()(
        "format", po::value<std::string>(),
        "json or csv; default: csv for a file named *.csv, else json");
    detail::add_change_options(import_options);
    return {{"inventory import",
             "replace the inventory with a JSON or CSV file",
             {"FILE"},
             import_options,
             true,
             import_inventory},
            {"inventory show",
             "print the inventory",
             {},
             {},
             true,
             show_inventory}};
}

} // namespace agatebank
