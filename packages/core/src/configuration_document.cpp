#include "configuration_validation.hpp"
#include <agatebank/core/configuration_document.hpp>
#include <agatebank/core/json_reader.hpp>

#include <array>
#include <utility>

namespace agatebank
{

namespace
{

using nlohmann::json;

constexpr const char* step_parse = "configuration.parse";

constexpr std::array target_states{target_state::active, target_state::draining,
                                   target_state::stopped};

constexpr int64_t max_cores = 1 << 16;
constexpr int64_t max_memory_mib = int64_t(1) << 30;
constexpr int64_t max_accelerators = 1 << 10;
constexpr int64_t max_slots = 1 << 12;
constexpr int64_t max_wait_ms = int64_t(24) * 3600 * 1000;
constexpr int64_t max_price = int64_t(1) << 40;
constexpr int64_t max_quota_tasks = 100000000;

// Reads the fields of an object with read() and reports any field that read()
// did not ask for as unknown.
template <class Read>
void read_object(const json& value, const std::string& path,
                 json_errors& errors, Read read)
{
    json_fields fields(value, path, errors);
    read(fields);
    fields.finish();
}

inventory_row read_row(const json& value, const std::string& path,
                       json_errors& errors)
{
    inventory_row row;
    read_object(value, path, errors,
                [&](json_fields& f)
                {
                    f.text("target", row.target);
                    f.text("worker", row.worker);
                    f.text("rack", row.rack);
                    f.text("failure_domain", row.failure_domain);
                    f.optional_number("cores", row.cores, {0, max_cores});
                    f.optional_number("memory_mib", row.memory_mib,
                                      {0, max_memory_mib});
                    f.optional_number("accelerators", row.accelerators,
                                      {0, max_accelerators});
                    f.number("slots", row.slots, {1, max_slots});
                    f.optional_texts("labels", row.labels);
                });
    return row;
}

service_rule read_service(const json& value, const std::string& path,
                          json_errors& errors)
{
    service_rule rule;
    read_object(value, path, errors,
                [&](json_fields& f)
                {
                    f.text("name", rule.name);
                    f.optional_texts("required_labels", rule.required_labels);
                    f.optional_number("min_accelerators", rule.min_accelerators,
                                      {0, max_accelerators});
                    f.optional_boolean("never_delay", rule.never_delay);
                    f.optional_number("reserved_slots", rule.reserved_slots,
                                      {0, max_slots});
                    f.optional_boolean("restart_unknown", rule.restart_unknown);
                });
    if (rule.restart_unknown)
    {
        errors.add(path + "/restart_unknown", "true",
                   "false, since restarting is not implemented yet");
    }
    return rule;
}

patience_rule read_patience(const json& value, const std::string& path,
                            json_errors& errors)
{
    patience_rule rule;
    int64_t amount = 0;
    read_object(value, path, errors,
                [&](json_fields& f)
                {
                    f.text("name", rule.name);
                    f.milliseconds("wait_ms", rule.wait, {1, max_wait_ms});
                    f.number("price_per_task", amount, {0, max_price});
                });
    rule.price_per_task = price(amount);
    return rule;
}

caller_rule read_caller(const json& value, const std::string& path,
                        json_errors& errors)
{
    caller_rule rule;
    read_object(value, path, errors,
                [&](json_fields& f)
                {
                    f.text("name", rule.name);
                    f.text("token_sha256", rule.token_sha256);
                    f.optional_number("max_queued_tasks", rule.max_queued_tasks,
                                      {0, max_quota_tasks});
                });
    return rule;
}

operator_rule read_operator(const json& value, const std::string& path,
                            json_errors& errors)
{
    operator_rule rule;
    read_object(value, path, errors,
                [&](json_fields& f)
                {
                    f.text("name", rule.name);
                    f.text("token_sha256", rule.token_sha256);
                });
    return rule;
}

change_record read_record(const json& value, const std::string& path,
                          json_errors& errors)
{
    change_record record;
    uint64_t version = 0;
    read_object(value, path, errors,
                [&](json_fields& f)
                {
                    f.number("version", version, {1});
                    f.text("change_id", record.change_id);
                    f.text("changed_by", record.changed_by);
                    f.optional_text("summary", record.summary);
                });
    record.version = config_version(version);
    return record;
}

// Returns a callback that appends each array element, read by one of the
// functions above, to out.
template <class T>
json_fields::element collect(std::vector<T>& out, json_errors& errors,
                             T (*read)(const json&, const std::string&,
                                       json_errors&))
{
    return [&out, &errors, read](const json& value, const std::string& path)
    {
        out.push_back(read(value, path, errors));
    };
}

void read_weights(const json& value, const std::string& path,
                  json_errors& errors, policy_weights& weights)
{
    read_object(value, path, errors,
                [&](json_fields& f)
                {
                    f.optional_double("response", weights.response, 0.0, 1.0);
                    f.optional_double("waste", weights.waste, 0.0, 1.0);
                });
}

rule_set read_rules(const json& value, const std::string& path,
                    json_errors& errors)
{
    rule_set rules;
    read_object(
        value, path, errors,
        [&](json_fields& f)
        {
            f.optional_array("services",
                             collect(rules.services, errors, read_service));
            f.optional_array("patience",
                             collect(rules.patience, errors, read_patience));
            f.optional_object("weights",
                              [&](const json& v, const std::string& at)
                              { read_weights(v, at, errors, rules.weights); });
            f.optional_array("callers",
                             collect(rules.callers, errors, read_caller));
            f.optional_array("operators",
                             collect(rules.operators, errors, read_operator));
        });
    return rules;
}

void read_target_states(const json& value, const std::string& path,
                        json_errors& errors,
                        std::map<target_name, target_state>& out)
{
    if (!value.is_object())
    {
        errors.add(path, value.type_name(), "an object");
        return;
    }
    for (const auto& item : value.items())
    {
        bool valid = false;
        for (const auto state : target_states)
        {
            if (item.value() == to_word(state))
            {
                out[target_name(item.key())] = state;
                valid = true;
            }
        }
        if (!valid)
        {
            errors.add(path + "/" + item.key(), item.value().type_name(),
                       "\"active\", \"draining\" or \"stopped\"");
        }
    }
}

configuration read_configuration(const json& value, json_errors& errors)
{
    configuration c;
    uint64_t version = 0;
    read_object(
        value, "", errors,
        [&](json_fields& f)
        {
            f.number("version", version, {0});
            f.optional_text("change_id", c.change_id);
            f.optional_text("changed_by", c.changed_by);
            f.optional_array("inventory",
                             collect(c.inventory, errors, read_row));
            f.optional_object("rules", [&](const json& v, const std::string& at)
                              { c.rules = read_rules(v, at, errors); });
            f.optional_object(
                "target_states", [&](const json& v, const std::string& at)
                { read_target_states(v, at, errors, c.target_states); });
            f.optional_array("history",
                             collect(c.history, errors, read_record));
        });
    c.version = config_version(version);
    return c;
}

// Parses text, converts it with read() and validates the result as a whole
// document.
template <class Read>
result<configuration> parse_checked(std::string_view text,
                                    const std::string& peer, Read read)
{
    const auto document = parse_json(text, step_parse, peer);
    if (!document)
    {
        return fail(errc::configuration_invalid, step_parse, peer,
                    document.error().detail);
    }
    json_errors errors;
    configuration c = read(*document, errors);
    const auto error =
        errors.empty() ? find_validation_error(c) : errors.first();
    if (!error.empty())
    {
        return fail(errc::configuration_invalid, step_parse, peer, error);
    }
    return c;
}

template <class T>
json to_json_array(const std::vector<T>& values)
{
    auto out = json::array();
    for (const auto& v : values)
    {
        out.push_back(to_json(v));
    }
    return out;
}

} // namespace

const char* to_word(target_state state) noexcept
{
    switch (state)
    {
    case target_state::active:
        return "active";
    case target_state::draining:
        return "draining";
    case target_state::stopped:
        return "stopped";
    }
    return "stopped";
}

result<configuration> parse_configuration(std::string_view text,
                                          const std::string& peer)
{
    return parse_checked(text, peer, read_configuration);
}

result<std::vector<inventory_row>> parse_inventory(std::string_view text,
                                                   const std::string& peer)
{
    const auto read = [](const json& value, json_errors& errors)
    {
        configuration c;
        read_object(
            value, "", errors,
            [&](json_fields& f)
            { f.array("inventory", collect(c.inventory, errors, read_row)); });
        return c;
    };
    return parse_checked(text, peer, read)
        .map([](configuration c) { return std::move(c.inventory); });
}

result<rule_set> parse_rules(std::string_view text, const std::string& peer)
{
    const auto read = [](const json& value, json_errors& errors)
    {
        configuration c;
        c.rules = read_rules(value, "", errors);
        return c;
    };
    const auto document = parse_json(text, step_parse, peer);
    if (!document)
    {
        return fail(errc::configuration_invalid, step_parse, peer,
                    document.error().detail);
    }
    json_errors errors;
    auto c = read(*document, errors);
    if (errors.empty())
    {
        detail::validate_rules(c.rules, "", errors);
    }
    if (!errors.empty())
    {
        return fail(errc::configuration_invalid, step_parse, peer,
                    errors.first());
    }
    return std::move(c.rules);
}

std::string to_text(const configuration& c)
{
    return to_json(c).dump();
}

json to_json(const inventory_row& row)
{
    return {{"target", row.target.value()},
            {"worker", row.worker.value()},
            {"rack", row.rack.value()},
            {"failure_domain", row.failure_domain.value()},
            {"cores", row.cores},
            {"memory_mib", row.memory_mib},
            {"accelerators", row.accelerators},
            {"slots", row.slots},
            {"labels", row.labels}};
}

json to_json(const std::vector<inventory_row>& inventory)
{
    return {{"inventory", to_json_array(inventory)}};
}

json to_json(const service_rule& rule)
{
    return {{"name", rule.name.value()},
            {"required_labels", rule.required_labels},
            {"min_accelerators", rule.min_accelerators},
            {"never_delay", rule.never_delay},
            {"reserved_slots", rule.reserved_slots},
            {"restart_unknown", rule.restart_unknown}};
}

json to_json(const patience_rule& rule)
{
    using std::chrono::milliseconds;
    return {{"name", rule.name.value()},
            {"wait_ms",
             std::chrono::duration_cast<milliseconds>(rule.wait).count()},
            {"price_per_task", rule.price_per_task.value()}};
}

json to_json(const policy_weights& weights)
{
    return {{"response", weights.response}, {"waste", weights.waste}};
}

json to_json(const caller_rule& rule)
{
    return {{"name", rule.name.value()},
            {"token_sha256", rule.token_sha256},
            {"max_queued_tasks", rule.max_queued_tasks}};
}

json to_json(const operator_rule& rule)
{
    return {{"name", rule.name.value()}, {"token_sha256", rule.token_sha256}};
}

json to_json(const change_record& record)
{
    return {{"version", record.version.value()},
            {"change_id", record.change_id},
            {"changed_by", record.changed_by},
            {"summary", record.summary}};
}

json to_json(const rule_set& rules)
{
    return {{"services", to_json_array(rules.services)},
            {"patience", to_json_array(rules.patience)},
            {"weights", to_json(rules.weights)},
            {"callers", to_json_array(rules.callers)},
            {"operators", to_json_array(rules.operators)}};
}

json to_json(const configuration& c)
{
    auto states = json::object();
    for (const auto& [target, state] : c.target_states)
    {
        states[target.value()] = to_word(state);
    }
    return {{"version", c.version.value()},
            {"change_id", c.change_id},
            {"changed_by", c.changed_by},
            {"inventory", to_json_array(c.inventory)},
            {"rules", to_json(c.rules)},
            {"target_states", std::move(states)},
            {"history", to_json_array(c.history)}};
}

} // namespace agatebank
