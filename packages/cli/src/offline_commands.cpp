#include "cli_output.hpp"
#include <agatebank/cli/cli_command.hpp>
#include <agatebank/core/configuration_document.hpp>
#include <agatebank/core/inventory_csv.hpp>
#include <agatebank/http/bearer_token.hpp>

#include <iostream>

namespace agatebank
{

namespace
{

namespace po = boost::program_options;

// Determines the kind of a document from the file's name and content.
std::string guess_kind(const std::string& file, const std::string& text)
{
    constexpr std::string_view csv = ".csv";
    if (file.size() > csv.size() &&
        file.compare(file.size() - csv.size(), csv.size(), csv) == 0)
    {
        return "csv";
    }
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_object() && document.contains("version"))
    {
        return "configuration";
    }
    const bool is_inventory =
        document.is_object() && document.contains("inventory");
    return is_inventory ? "inventory" : "rules";
}

// Returns a description of a valid document.
result<std::string> validate(const std::string& kind, const std::string& file,
                             const std::string& text)
{
    const auto describe_rows = [](const std::vector<inventory_row>& rows)
    {
        return "inventory of " + std::to_string(rows.size()) + " targets";
    };
    if (kind == "csv")
    {
        return parse_inventory_csv(text, file).map(describe_rows);
    }
    if (kind == "inventory")
    {
        return parse_inventory(text, file).map(describe_rows);
    }
    if (kind == "rules")
    {
        return parse_rules(text, file)
            .map(
                [](const rule_set& r) {
                    return "rules of " + std::to_string(r.services.size()) +
                           " services";
                });
    }
    return parse_configuration(text, file)
        .map(
            [](const configuration& c) {
                return "configuration of version " +
                       std::to_string(c.version.value());
            });
}

cli_exit_code check_file(const cli_context& context)
{
    const auto file = context.text("FILE");
    const auto text = detail::read_input(context, file);
    if (!text)
    {
        return detail::report_failure(context, text.error());
    }
    auto kind = context.text("kind");
    if (kind.empty())
    {
        kind = guess_kind(file, *text);
    }
    const auto description = validate(kind, file, *text);
    if (!description)
    {
        return detail::report_failure(context, description.error());
    }
    if (context.json)
    {
        context.environment.out
            << nlohmann::json{{"file", file}, {"kind", kind}, {"valid", true}}
            << "\n";
    }
    else
    {
        context.environment.out << file << ": valid " << *description << "\n";
    }
    return cli_exit_code::success;
}

cli_exit_code hash_token(const cli_context& context)
{
    std::string token;
    std::getline(context.environment.in, token);
    if (token.empty())
    {
        context.environment.err << "agatebank: no token on standard input\n";
        return cli_exit_code::usage;
    }
    const auto hash = sha256_hex(token);
    if (context.json)
    {
        context.environment.out << nlohmann::json{{"token_sha256", hash}}
                                << "\n";
    }
    else
    {
        context.environment.out << hash << "\n";
    }
    return cli_exit_code::success;
}

} // namespace

std::vector<cli_command> offline_commands()
{
    po::options_description check_options;
    check_options.add_options()(
        "kind", po::value<std::string>(),
        "csv, inventory, rules or configuration; default: from the file's name "
        "and content");
    return {{"config check",
             "validate a file without an entry",
             {"FILE"},
             check_options,
             false,
             check_file},
            {"token hash",
             "print the SHA-256 of a token read from standard input",
             {},
             {},
             false,
             hash_token}};
}

} // namespace agatebank
