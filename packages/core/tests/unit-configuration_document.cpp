#include <agatebank/core/configuration_difference.hpp>
#include <agatebank/core/configuration_document.hpp>
#include <agatebank/core/configuration_edit.hpp>
#include <agatebank/core/configuration_view.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map>
#include <set>
#include <string>

using namespace agatebank;

namespace
{

const std::string token_a(64, 'a');
const std::string token_b(64, 'b');

configuration make_example()
{
    configuration c;
    c.version = config_version(7);
    c.change_id = "c0ffee";
    c.changed_by = "aoki";
    c.inventory = {{target_name("t-1"),
                    worker_name("w-1"),
                    rack_name("r-1"),
                    failure_domain_name("sapporo"),
                    16,
                    65536,
                    0,
                    8,
                    {"pall"}},
                   {target_name("t-2"),
                    worker_name("w-2"),
                    rack_name("r-1"),
                    failure_domain_name("sapporo"),
                    16,
                    65536,
                    1,
                    8,
                    {}}};
    c.rules.services = {{service_name("booking"), {"pall"}, 0, true, 2, false},
                        {service_name("sizing"), {}, 1, false, 0, false},
                        {service_name("never"), {}, 9, false, 0, false}};
    c.rules.patience = {
        {patience_name("now"), std::chrono::seconds(2), price(40)}};
    c.rules.callers = {{caller_name("desk"), token_a, 100}};
    c.rules.operators = {{operator_name("aoki"), token_b}};
    c.target_states = {{target_name("t-1"), target_state::draining}};
    c.history = {{config_version(7), "c0ffee", "aoki", "rules: 1 changed"}};
    return c;
}

std::string generate_name()
{
    const auto c = rc::gen::elementOf(std::string("abcXYZ019._:@+-"));
    return *rc::gen::resize(
        12, rc::gen::nonEmpty(rc::gen::container<std::string>(c)));
}

// Generates distinct names.
std::vector<std::string> generate_names(int max)
{
    std::set<std::string> out;
    const auto n = *rc::gen::inRange(0, max);
    for (int i = 0; i < n; ++i)
    {
        out.insert(generate_name());
    }
    return {out.begin(), out.end()};
}

configuration generate_configuration()
{
    configuration c;
    c.version = config_version(*rc::gen::inRange<uint64_t>(0, 1U << 30U));
    for (const auto& name : generate_names(6))
    {
        c.inventory.push_back(
            {target_name(name), worker_name("w-" + name),
             rack_name(generate_name()), failure_domain_name(generate_name()),
             *rc::gen::inRange(0U, 129U), *rc::gen::inRange(0U, 1U << 20U),
             *rc::gen::inRange(0U, 9U), *rc::gen::inRange(1U, 65U),
             generate_names(4)});
        c.target_states[target_name(name)] =
            *rc::gen::element(target_state::active, target_state::draining,
                              target_state::stopped);
    }
    for (const auto& name : generate_names(5))
    {
        c.rules.services.push_back({service_name(name),
                                    {},
                                    *rc::gen::inRange(0U, 9U),
                                    *rc::gen::arbitrary<bool>(),
                                    0,
                                    false});
        c.rules.patience.push_back(
            {patience_name(name),
             std::chrono::milliseconds(*rc::gen::inRange(1, 86400000)),
             price(*rc::gen::inRange<int64_t>(0, 1000000))});
    }
    return c;
}

} // namespace

TEST_CASE("configuration_document: an example round-trips through JSON text")
{
    const auto c = make_example();
    const auto back = parse_configuration(to_text(c), "test");
    REQUIRE(back);
    CHECK(*back == c);
}

TEST_CASE("configuration_document: any document round-trips through JSON text")
{
    rc::prop("parse(to_text(c)) == c",
             []
             {
                 const auto c = generate_configuration();
                 const auto back = parse_configuration(to_text(c), "test");
                 RC_ASSERT(back.has_value());
                 RC_ASSERT(*back == c);
                 const auto rows =
                     parse_inventory(to_json(c.inventory).dump(), "test");
                 RC_ASSERT(rows.has_value());
                 RC_ASSERT(*rows == c.inventory);
             });
}

TEST_CASE("configuration_document: validation errors state the JSON path, the "
          "value found and the value expected")
{
    struct row
    {
        const char* name;
        const char* pointer; ///< value of the example to replace
        const char* value;   ///< new JSON value; nullptr removes the old one
        const char* error;
    };
    const row rows[] = {
        {"valid", "/version", "7", ""},
        {"slots", "/inventory/0/slots", "0",
         "at /inventory/0/slots: found 0, expected a whole number from 1 to "
         "4096"},
        {"no target", "/inventory/1/target", nullptr,
         "at /inventory/1/target: found nothing, expected a value"},
        {"target twice", "/inventory/1/target", "\"t-1\"",
         "at /inventory/1/target: found \"t-1\" again, expected each target "
         "once"},
        {"target name", "/inventory/0/target", "\"a/b\"",
         "at /inventory/0/target: found \"a/b\", expected 1 to 64 characters "
         "from A-Z a-z 0-9 . _ : @ + -"},
        {"worker in two domains", "/inventory/1",
         R"({"target":"t-2","worker":"w-1","rack":"r","slots":1,
             "failure_domain":"kushiro","accelerators":9})",
         "at /inventory/1/failure_domain: found \"kushiro\", expected the "
         "worker's failure domain \"sapporo\""},
        {"label twice", "/inventory/0/labels", R"(["pall","pall"])",
         "at /inventory/0/labels/1: found \"pall\" again, expected each label "
         "once"},
        {"unknown label", "/rules/services/0/required_labels", R"(["pal"])",
         "at /rules/services/0/required_labels/0: found \"pal\", expected a "
         "label of the inventory"},
        {"service twice", "/rules/services/1/name", "\"booking\"",
         "at /rules/services/1/name: found \"booking\" again, expected each "
         "name once"},
        {"reserved", "/rules/services/0/reserved_slots", "9",
         "at /rules/services/0/reserved_slots: found 9 reserved on target "
         "\"t-1\", expected at most its 8 slots"},
        {"not implemented", "/rules/services/0/restart_unknown", "true",
         "at /rules/services/0/restart_unknown: found true, expected false, "
         "since restarting is not implemented yet"},
        {"wait", "/rules/patience/0/wait_ms", "0",
         "at /rules/patience/0/wait_ms: found 0, expected a whole number from "
         "1 to 86400000"},
        {"price", "/rules/patience/0/price_per_task", "-1",
         "at /rules/patience/0/price_per_task: found -1, expected a whole "
         "number from 0 to 1099511627776"},
        {"weight", "/rules/weights/waste", "1.5",
         "at /rules/weights/waste: found 1.5, expected a number from 0.0 to "
         "1.0"},
        {"token", "/rules/callers/0/token_sha256", "\"AB\"",
         "at /rules/callers/0/token_sha256: found \"AB\", expected 64 "
         "lower-case hexadecimal digits"},
        {"state of unknown target", "/target_states/t-9", "\"stopped\"",
         "at /target_states/t-9: found \"t-9\", expected a target of the "
         "inventory"},
        {"state", "/target_states/t-1", "\"gone\"",
         "at /target_states/t-1: found string, expected \"active\", "
         "\"draining\" or \"stopped\""},
        {"unknown field", "/rules/quota", "1",
         "at /rules/quota: found an unknown field, expected no such field"},
        {"history", "/history/0/version", "8",
         "at /history/0/version: found 8, expected ascending versions, none "
         "above the document's"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            auto document = to_json(make_example());
            const nlohmann::json::json_pointer at(r.pointer);
            if (r.value == nullptr)
            {
                document[at.parent_pointer()].erase(at.back());
            }
            else
            {
                document[at] = nlohmann::json::parse(r.value);
            }
            const auto got = parse_configuration(document.dump(), "file");
            CHECK(got.has_value() == std::string(r.error).empty());
            if (!got)
            {
                CHECK(got.error().code == errc::configuration_invalid);
                CHECK(got.error().peer == "file");
                CHECK(got.error().detail == r.error);
            }
        }
    }
}

TEST_CASE("configuration_document: a caller and an operator must not share a "
          "token")
{
    auto c = make_example();
    c.rules.operators.front().token_sha256 = token_a;
    CHECK(find_validation_error(c) ==
          "at /rules/operators/0/token_sha256: found \"" + token_a +
              "\" again, expected a token that no other "
              "caller or operator has");
    CHECK_FALSE(parse_rules(to_json(c.rules).dump(), "test"));
}

TEST_CASE("configuration_view: lookups by name and by token")
{
    const auto c = std::make_shared<const configuration>(make_example());
    const configuration_view view(c);
    CHECK(view.find_service(service_name("booking"))->never_delay);
    CHECK(view.find_service(service_name("other")) == nullptr);
    CHECK(view.find_patience(patience_name("now"))->price_per_task ==
          price(40));
    CHECK(view.find_caller(token_a)->name == caller_name("desk"));
    CHECK(view.find_caller(token_b) == nullptr);
    CHECK(view.find_caller("") == nullptr);
    CHECK(view.find_operator(token_b)->name == operator_name("aoki"));
    CHECK(view.allowed_services(target_name("t-1")) ==
          std::vector<service_name>{service_name("booking")});
    const auto configured = view.configuration_of(target_name("t-2"));
    CHECK(configured.in_inventory);
    CHECK(configured.state == target_state::active);
    CHECK(configured.slots == 8);
    CHECK(configured.services ==
          std::vector<service_name>{service_name("sizing")});
    CHECK(view.configuration_of(target_name("t-1")).state ==
          target_state::draining);
    CHECK_FALSE(view.configuration_of(target_name("t-9")).in_inventory);
    CHECK(view.has_capable_target(service_name("sizing")));
    CHECK_FALSE(view.has_capable_target(service_name("never")));
    CHECK_FALSE(view.has_capable_target(service_name("other")));
}

TEST_CASE("configuration_difference: items are listed, counted and selected by "
          "part")
{
    const auto before = make_example();
    auto after = before;
    after.inventory.erase(after.inventory.begin());
    after.rules.patience.front().price_per_task = price(50);
    after.rules.services.push_back({service_name("extra"), {}, 0, {}, 0, {}});
    after.target_states.clear();
    const auto items = difference(before, after);
    REQUIRE(items.size() == 4);
    CHECK(items[0].path == "/inventory/t-1");
    CHECK(items[0].after.empty());
    CHECK(items[1].path == "/rules/patience/now");
    CHECK(items[2].path == "/rules/services/extra");
    CHECK(items[2].before.empty());
    CHECK(items[3].path == "/target_states/t-1");
    CHECK(summarise(items) == "inventory: 1 removed; rules: 1 added, 1 "
                              "changed; target states: 1 removed");
    CHECK(select_part(items, "/rules").size() == 2);
    CHECK(select_part(items, "/target_states/t").empty());
    CHECK(difference(after, after).empty());
    CHECK(summarise({}) == "no difference");
}

TEST_CASE("configuration_difference: an edit changes only the part it replaces")
{
    rc::prop("the replaced part equals its replacement, the rest is unchanged",
             []
             {
                 const auto a = generate_configuration();
                 const auto b = generate_configuration();
                 const auto rows = replace_inventory(b.inventory).apply(a);
                 RC_ASSERT(rows->inventory == b.inventory);
                 RC_ASSERT(find_validation_error(*rows).empty());
                 const auto rules = replace_rules(b.rules).apply(a);
                 const auto items = difference(a, *rules);
                 RC_ASSERT(select_part(items, "/rules") == items);
                 RC_ASSERT(
                     select_part(difference(*rules, b), "/rules").empty());
             });
}

TEST_CASE("configuration_difference: agrees with a naive implementation")
{
    // serialises every item, whether it differs or not
    const auto to_items = [](const configuration& c)
    {
        std::map<std::string, std::string> out;
        for (const auto& row : c.inventory)
        {
            out["/inventory/" + row.target.value()] = to_json(row).dump();
        }
        for (const auto& s : c.rules.services)
        {
            out["/rules/services/" + s.name.value()] = to_json(s).dump();
        }
        for (const auto& p : c.rules.patience)
        {
            out["/rules/patience/" + p.name.value()] = to_json(p).dump();
        }
        for (const auto& [target, state] : c.target_states)
        {
            if (state != target_state::active)
            {
                out["/target_states/" + target.value()] =
                    "\"" + std::string(to_word(state)) + "\"";
            }
        }
        return out;
    };
    rc::prop("difference(a, b) == naive difference",
             [&]
             {
                 const auto a = generate_configuration();
                 auto b = generate_configuration();
                 // make the two configurations share some rows
                 for (const auto& row : a.inventory)
                 {
                     if (*rc::gen::arbitrary<bool>())
                     {
                         b = *replace_inventory({row}).apply(b);
                     }
                 }
                 auto before = to_items(a);
                 auto after = to_items(b);
                 std::vector<item_difference> naive;
                 std::set<std::string> paths;
                 for (const auto& items : {before, after})
                 {
                     for (const auto& item : items)
                     {
                         paths.insert(item.first);
                     }
                 }
                 for (const auto& path : paths)
                 {
                     if (before[path] != after[path])
                     {
                         naive.push_back({path, before[path], after[path]});
                     }
                 }
                 RC_ASSERT(difference(a, b) == naive);
             });
}

TEST_CASE("configuration_edit: the history is limited to the latest changes")
{
    configuration c;
    for (std::size_t i = 1; i <= max_history_records + 6; ++i)
    {
        c = make_next_version(c, {{}, std::to_string(i), "aoki", "x"});
    }
    CHECK(c.version.value() == max_history_records + 6);
    CHECK(c.history.size() == max_history_records);
    CHECK(c.history.front().change_id == "7");
    CHECK(c.history.back().version == c.version);
    CHECK(find_validation_error(c).empty());
    const auto edit =
        set_target_state(target_name("t-9"), target_state::stopped);
    CHECK(edit.apply(c).error().code == errc::not_found);
}
