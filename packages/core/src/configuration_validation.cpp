#include "configuration_validation.hpp"

#include <agatebank/core/configuration_document.hpp>
#include <agatebank/core/configuration_view.hpp>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace agatebank
{

namespace
{

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t sha256_hex_digits = 64;
constexpr std::size_t max_targets = 20000;
constexpr std::size_t max_services = 1000;
constexpr std::size_t max_patience_classes = 100;
constexpr std::size_t max_callers = 1000;
constexpr std::size_t max_operators = 1000;
constexpr std::size_t max_labels = 64;

constexpr const char* name_expected =
    "1 to 64 characters from A-Z a-z 0-9 . _ : @ + -";

std::string quote(const std::string& text)
{
    return nlohmann::json(text).dump(-1, ' ', true,
                                     nlohmann::json::error_handler_t::replace);
}

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') ||
           std::string_view("._:@+-").find(c) != std::string_view::npos;
}

bool is_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_sha256(const std::string& text)
{
    const auto is_digit = [](char c)
    {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    return text.size() == sha256_hex_digits &&
           std::all_of(text.begin(), text.end(), is_digit);
}

using text_set = std::unordered_set<std::string>;

// Checks single values of one document and adds an error for each invalid one.
// Remembers all tokens seen, since a token must be unique across callers and
// operators.
class validator
{
  public:
    explicit validator(json_errors& errors) : errors_(errors) {}

    void name(const std::string& text, const std::string& path)
    {
        if (!is_name(text))
        {
            errors_.add(path, quote(text), name_expected);
        }
    }

    void unique(const std::string& text, text_set& seen,
                const std::string& path, const char* expected)
    {
        if (!seen.insert(text).second)
        {
            errors_.add(path, quote(text) + " again", expected);
        }
    }

    void count(std::size_t n, std::size_t max, const std::string& path)
    {
        if (n > max)
        {
            errors_.add(path, std::to_string(n) + " elements",
                        "at most " + std::to_string(max));
        }
    }

    void labels(const std::vector<std::string>& texts, const std::string& path)
    {
        count(texts.size(), max_labels, path);
        text_set seen;
        for (std::size_t i = 0; i < texts.size(); ++i)
        {
            const auto at = path + "/" + std::to_string(i);
            name(texts[i], at);
            unique(texts[i], seen, at, "each label once");
        }
    }

    void token(const std::string& text, const std::string& path)
    {
        if (!is_sha256(text))
        {
            errors_.add(path, quote(text), "64 lower-case hexadecimal digits");
        }
        unique(text, tokens_, path,
               "a token that no other caller or operator has");
    }

  private:
    json_errors& errors_;
    text_set tokens_;
};

void check_inventory(const std::vector<inventory_row>& rows, validator& check,
                     json_errors& errors)
{
    check.count(rows.size(), max_targets, "/inventory");
    text_set targets;
    std::unordered_map<std::string, const inventory_row*> workers;
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        const auto& row = rows[i];
        const auto at = "/inventory/" + std::to_string(i);
        check.name(row.target.value(), at + "/target");
        check.name(row.worker.value(), at + "/worker");
        check.name(row.rack.value(), at + "/rack");
        check.name(row.failure_domain.value(), at + "/failure_domain");
        check.labels(row.labels, at + "/labels");
        check.unique(row.target.value(), targets, at + "/target",
                     "each target once");
        const auto* first =
            workers.emplace(row.worker.value(), &row).first->second;
        if (first->failure_domain != row.failure_domain)
        {
            errors.add(at + "/failure_domain",
                       quote(row.failure_domain.value()),
                       "the worker's failure domain " +
                           quote(first->failure_domain.value()));
        }
    }
}

template <class Rule>
void check_names(const std::vector<Rule>& rules, std::size_t max,
                 const std::string& path, validator& check)
{
    check.count(rules.size(), max, path);
    text_set seen;
    for (std::size_t i = 0; i < rules.size(); ++i)
    {
        const auto at = path + "/" + std::to_string(i) + "/name";
        check.name(rules[i].name.value(), at);
        check.unique(rules[i].name.value(), seen, at, "each name once");
    }
}

template <class Rule>
void check_tokens(const std::vector<Rule>& rules, const std::string& path,
                  validator& check)
{
    for (std::size_t i = 0; i < rules.size(); ++i)
    {
        check.token(rules[i].token_sha256,
                    path + "/" + std::to_string(i) + "/token_sha256");
    }
}

void check_rules(const rule_set& rules, const std::string& path,
                 validator& check)
{
    check_names(rules.services, max_services, path + "/services", check);
    check_names(rules.patience, max_patience_classes, path + "/patience",
                check);
    check_names(rules.callers, max_callers, path + "/callers", check);
    check_names(rules.operators, max_operators, path + "/operators", check);
    for (std::size_t i = 0; i < rules.services.size(); ++i)
    {
        check.labels(rules.services[i].required_labels, path + "/services/" +
                                                            std::to_string(i) +
                                                            "/required_labels");
    }
    check_tokens(rules.callers, path + "/callers", check);
    check_tokens(rules.operators, path + "/operators", check);
}

// A required label that no target has is reported as an error, since it is
// probably misspelt. With an empty inventory the check is skipped, so that the
// rules can be loaded before the inventory is imported.
void check_labels(const configuration& c, json_errors& errors)
{
    text_set inventory_labels;
    for (const auto& row : c.inventory)
    {
        inventory_labels.insert(row.labels.begin(), row.labels.end());
    }
    for (std::size_t i = 0; i < c.rules.services.size(); ++i)
    {
        const auto& labels = c.rules.services[i].required_labels;
        for (std::size_t j = 0; j < labels.size(); ++j)
        {
            if (!c.inventory.empty() && inventory_labels.count(labels[j]) == 0)
            {
                errors.add("/rules/services/" + std::to_string(i) +
                               "/required_labels/" + std::to_string(j),
                           quote(labels[j]), "a label of the inventory");
            }
        }
    }
}

void check_reserved_slots(const configuration& c, json_errors& errors)
{
    for (const auto& row : c.inventory)
    {
        unsigned reserved = 0;
        for (std::size_t i = 0; i < c.rules.services.size(); ++i)
        {
            const auto& service = c.rules.services[i];
            if (service.reserved_slots == 0 ||
                !meets_requirements(row, service))
            {
                continue;
            }
            reserved += service.reserved_slots;
            if (reserved > row.slots)
            {
                errors.add(
                    "/rules/services/" + std::to_string(i) + "/reserved_slots",
                    std::to_string(reserved) + " reserved on target " +
                        quote(row.target.value()),
                    "at most its " + std::to_string(row.slots) + " slots");
            }
        }
    }
}

void check_target_states(const configuration& c, json_errors& errors)
{
    text_set inventory_targets;
    for (const auto& row : c.inventory)
    {
        inventory_targets.insert(row.target.value());
    }
    for (const auto& item : c.target_states)
    {
        if (inventory_targets.count(item.first.value()) == 0)
        {
            errors.add("/target_states/" + item.first.value(),
                       quote(item.first.value()), "a target of the inventory");
        }
    }
}

void check_history(const configuration& c, validator& check,
                   json_errors& errors)
{
    check.count(c.history.size(), max_history_records, "/history");
    uint64_t last = 0;
    for (std::size_t i = 0; i < c.history.size(); ++i)
    {
        const auto version = c.history[i].version.value();
        if (version <= last || version > c.version.value())
        {
            errors.add("/history/" + std::to_string(i) + "/version",
                       std::to_string(version),
                       "ascending versions, none above the document's");
        }
        last = version;
    }
}

} // namespace

namespace detail
{

void validate_rules(const rule_set& rules, const std::string& path,
                    json_errors& errors)
{
    validator check(errors);
    check_rules(rules, path, check);
}

void validate(const configuration& c, json_errors& errors)
{
    validator check(errors);
    check_inventory(c.inventory, check, errors);
    check_rules(c.rules, "/rules", check);
    check_labels(c, errors);
    check_reserved_slots(c, errors);
    check_target_states(c, errors);
    check_history(c, check, errors);
}

} // namespace detail

std::string find_validation_error(const configuration& c)
{
    json_errors errors;
    detail::validate(c, errors);
    return errors.first();
}

} // namespace agatebank
