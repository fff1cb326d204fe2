#include <agatebank/admin/admin_api.hpp>
#include <agatebank/core/configuration_document.hpp>
#include <agatebank/http/bearer_token.hpp>
#include <agatebank/http/http_client.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace agatebank;
using nlohmann::json;

namespace
{

const std::string inventory_text =
    R"({"inventory":[{"target":"t-1","worker":"w-1","rack":"r","slots":8,
        "failure_domain":"sapporo","labels":["pall"]}]})";
const std::string inventory_csv =
    "target,worker,rack,failure_domain,slots,labels\n"
    "t-1,w-1,r,sapporo,8,pall\n";

configuration make_document()
{
    configuration c;
    c.inventory = {{target_name("t-1"),
                    worker_name("w-1"),
                    rack_name("r"),
                    failure_domain_name("sapporo"),
                    0,
                    0,
                    0,
                    8,
                    {"pall"}},
                   {target_name("t-2"),
                    worker_name("w-2"),
                    rack_name("r"),
                    failure_domain_name("sapporo"),
                    0,
                    0,
                    0,
                    8,
                    {}}};
    c.rules.operators = {{operator_name("aoki"), sha256_hex("operator")}};
    c.rules.callers = {{caller_name("desk"), sha256_hex("caller"), 0}};
    return make_next_version(c, {{}, "first", "sato", "begin"});
}

// An entry that keeps the configuration in memory, with an agent that applies
// a new version after 50 ms and an agent that is not reachable.
class admin_fixture
{
  public:
    admin_fixture()
        : http(loop), server(loop, {}), admin(loop, make_hooks(), options())
    {
        set_document(make_document());
        admin.add_routes(server);
        port = server.listen().value();
    }

    void set_document(const configuration& c)
    {
        view = std::make_shared<configuration_view>(
            std::make_shared<const configuration>(c));
        entry_version = c.version;
    }

    http_response call(const std::string& method, const std::string& path,
                       const std::string& body = {},
                       std::vector<http_header> headers = {},
                       const std::string& token = "operator",
                       const std::string& type = "application/json")
    {
        http_call c;
        c.method = method;
        c.url = "http://127.0.0.1:" + std::to_string(port) + path;
        c.body = body;
        c.content_type = type;
        c.headers = std::move(headers);
        if (!token.empty())
        {
            c.headers.push_back({"Authorization", "Bearer " + token});
        }
        http_response out;
        const auto handle = http.send(c,
                                      [&](const auto& r)
                                      {
                                          out = r.value();
                                          loop.quit();
                                      });
        loop.run();
        return out;
    }

    event_loop loop;
    http_client http;
    http_server server;
    std::shared_ptr<const configuration_view> view;
    config_version entry_version;
    config_version agent_version{1};
    bool agent_applies_changes = true;
    std::optional<change_failure> next_failure;
    event_filter last_filter;
    watch agent_update_timer;
    admin_api admin;
    uint16_t port = 0;

  private:
    static admin_options options()
    {
        return {sha256_hex("bootstrap"), std::chrono::milliseconds(5)};
    }

    // Makes a change as a configuration store does without other writers.
    void change(const configuration_change& c,
                const configuration_store::change_completion& done)
    {
        if (next_failure)
        {
            done(tl::unexpected(*next_failure));
            return;
        }
        auto edited = c.edit.apply(view->document());
        if (!edited)
        {
            done(tl::unexpected(change_failure{edited.error(), {}}));
            return;
        }
        auto items = difference(view->document(), *edited);
        set_document(make_next_version(
            *edited,
            {{}, c.change_id, c.changed_by.value(), summarise(items)}));
        agent_update_timer = loop.after(std::chrono::milliseconds(50),
                                        [this]
                                        {
                                            if (agent_applies_changes)
                                            {
                                                agent_version = entry_version;
                                            }
                                        });
        done(accepted_change{view->shared_document(), view->version(), true});
    }

    admin_hooks make_hooks()
    {
        admin_hooks h;
        h.configuration = [this]
        {
            return view;
        };
        h.change = [this](auto c, auto done)
        {
            change(c, done);
        };
        h.targets = []
        {
            target_status t;
            t.target = target_name("t-1");
            t.agent = "agent-1";
            t.services = {service_name("pall")};
            return std::vector<target_status>{t};
        };
        h.processes = [this]
        {
            process_status entry;
            entry.name = "entry-1";
            entry.version = entry_version;
            entry.reachable = true;
            auto agent = entry;
            agent.kind = process_kind::agent;
            agent.name = "agent-1";
            agent.version = agent_version;
            auto unreachable_agent = agent;
            unreachable_agent.reachable = false;
            unreachable_agent.version = config_version();
            return std::vector<process_status>{entry, agent, unreachable_agent};
        };
        h.events = [this](const event_filter& filter, auto done)
        {
            last_filter = filter;
            event e;
            e.kind = event_kind::run_began;
            e.target = "t-1";
            done({e});
        };
        h.random_id = []
        {
            return "random";
        };
        return h;
    }
};

} // namespace

// Guards against a request that is served, or a change that is made, without an
// operator's token. The bootstrap token must not work once there are operators.
TEST_CASE("admin_api: requests without an operator's token are refused")
{
    struct row
    {
        const char* name;
        const char* token;
        bool has_operators; ///< whether the configuration has any
        unsigned status;
    };
    const row rows[] = {
        {"operator", "operator", true, 200},
        {"no token", "", true, 401},
        {"unknown token", "other", true, 401},
        {"caller", "caller", true, 403},
        {"bootstrap with operators", "bootstrap", true, 401},
        {"bootstrap without operators", "bootstrap", false, 200},
        {"caller without operators", "caller", false, 403}};
    admin_fixture f;
    f.agent_version = config_version(9);
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            auto c = make_document();
            if (!r.has_operators)
            {
                c.rules.operators.clear();
            }
            f.set_document(c);
            for (const char* path :
                 {"inventory", "rules", "configuration", "status", "targets",
                  "timeline", "configuration/history"})
            {
                CHECK(f.call("GET", std::string("/v1/admin/") + path, "", {},
                             r.token)
                          .status == r.status);
            }
            const auto version = f.view->version();
            CHECK(f.call("PUT", "/v1/admin/inventory", inventory_text, {},
                         r.token)
                      .status == r.status);
            CHECK((f.view->version() == version) == (r.status != 200));
        }
    }
}

// A request that is refused or a dry run must leave the version unchanged.
TEST_CASE("admin_api: changes are made or refused with the right error")
{
    struct row
    {
        const char* name;
        const char* method;
        std::string path;
        std::string body;
        const char* type;
        std::vector<http_header> headers;
        unsigned status;
        const char* code; ///< of the problem; empty: accepted
        uint64_t version; ///< afterwards
    };
    const row rows[] = {
        {"JSON inventory",
         "PUT",
         "inventory",
         inventory_text,
         "application/json",
         {},
         200,
         "",
         2},
        {"CSV inventory",
         "PUT",
         "inventory",
         inventory_csv,
         "text/csv",
         {},
         200,
         "",
         2},
        {"dry run",
         "PUT",
         "inventory?dry_run=true",
         inventory_text,
         "application/json",
         {},
         200,
         "",
         1},
        {"rules that are not JSON",
         "PUT",
         "rules",
         "{",
         "application/json",
         {},
         422,
         "configuration_invalid",
         1},
        {"dry run of invalid rules",
         "PUT",
         "rules?dry_run=true",
         R"({"services":[{"name":"a","required_labels":["none"]}]})",
         "application/json",
         {},
         422,
         "configuration_invalid",
         1},
        {"drain",
         "POST",
         "targets/t-1/drain",
         "",
         "application/json",
         {},
         200,
         "",
         2},
        {"drain of an unknown target",
         "POST",
         "targets/t-9/drain",
         "",
         "application/json",
         {},
         404,
         "not_found",
         1},
        {"dry run of a stale version",
         "PUT",
         "inventory?dry_run=true",
         inventory_text,
         "application/json",
         {{"If-Match", "\"7\""}},
         409,
         "configuration_conflict",
         1},
        {"If-Match without quotes",
         "PUT",
         "inventory",
         inventory_text,
         "application/json",
         {{"If-Match", "7"}},
         400,
         "request_malformed",
         1},
        {"dry_run neither true nor false",
         "PUT",
         "inventory?dry_run=1",
         inventory_text,
         "application/json",
         {},
         400,
         "request_malformed",
         1},
        {"wait above the limit",
         "PUT",
         "inventory?wait_in_force_ms=99999999",
         inventory_text,
         "application/json",
         {},
         400,
         "request_malformed",
         1},
        {"change id with a space",
         "PUT",
         "inventory",
         inventory_text,
         "application/json",
         {{"Agatebank-Change", "a b"}},
         400,
         "request_malformed",
         1},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            admin_fixture f;
            f.agent_version = config_version(9);
            const auto got = f.call(r.method, "/v1/admin/" + r.path, r.body,
                                    r.headers, "operator", r.type);
            CHECK(got.status == r.status);
            CHECK(json::parse(got.body).value("code", "") == r.code);
            CHECK(f.view->version() == config_version(r.version));
        }
    }
}

TEST_CASE("admin_api: an accepted change is in the response and the history")
{
    admin_fixture f;
    const auto got = f.call("PUT", "/v1/admin/inventory?wait_in_force_ms=10000",
                            inventory_text, {{"Agatebank-Change", "c-1"}});
    CHECK(got.status == 200);
    const auto body = json::parse(got.body);
    CHECK(body["version"] == 2);
    CHECK(body["change_id"] == "c-1");
    CHECK(body["summary"] == "inventory: 1 removed");
    CHECK(body["in_force"]["everywhere"] == true);
    CHECK(body["in_force"]["processes"].size() == 3);
    const auto history = json::parse(
        f.call("GET", "/v1/admin/configuration/history").body)["history"];
    CHECK(history.back() == json{{"version", 2},
                                 {"change_id", "c-1"},
                                 {"changed_by", "aoki"},
                                 {"summary", "inventory: 1 removed"}});
    const auto shown =
        f.call("GET", "/v1/admin/inventory", "", {{"Accept", "text/csv"}});
    CHECK(shown.content_type == "text/csv");
    CHECK(shown.body.find("t-1,w-1,r,sapporo,0,0,0,8,pall") !=
          std::string::npos);
}

// The change is in the table, but an agent does not apply it before the wait
// ends: the response must not say that it is in force everywhere.
TEST_CASE("admin_api: a change that is not in force in time gives 202")
{
    admin_fixture f;
    f.agent_applies_changes = false;
    const auto got =
        f.call("POST", "/v1/admin/targets/t-1/stop?wait_in_force_ms=150");
    CHECK(got.status == 202);
    const auto in_force = json::parse(got.body)["in_force"];
    CHECK(in_force["everywhere"] == false);
    CHECK(in_force["processes"][0]["in_force"] == true);
    CHECK(in_force["processes"][1]["in_force"] == false);
}

// The member "run" tells the operator whether the change may have been made.
TEST_CASE("admin_api: each failure of the store gives its status and outcome")
{
    struct row
    {
        errc code;
        unsigned status;
        const char* run; ///< expected member "run"
    };
    const row rows[] = {{errc::configuration_conflict, 409, "not-run"},
                        {errc::platform_unreachable, 503, "not-run"},
                        {errc::platform_refused, 503, "not-run"},
                        {errc::platform_outcome_unknown, 504, "may-have-run"}};
    for (const auto& r : rows)
    {
        SECTION(error_word(r.code))
        {
            admin_fixture f;
            change_failure failed{{make_error_code(r.code), "step", "", ""},
                                  std::nullopt};
            if (r.code == errc::configuration_conflict)
            {
                failed.conflict = {config_version(5),
                                   "theirs",
                                   "sato",
                                   {{config_version(5), "theirs", "sato", "s"}},
                                   {{"/inventory/t-1", "", "7"}}};
            }
            f.next_failure = failed;
            const auto got =
                f.call("PUT", "/v1/admin/inventory", inventory_text);
            CHECK(got.status == r.status);
            const auto body = json::parse(got.body);
            CHECK(body["run"] == r.run);
            CHECK(body["change_id"] == "random");
            CHECK(body.contains("conflict") == failed.conflict.has_value());
            if (failed.conflict)
            {
                CHECK(body["conflict"]["version"] == 5);
                CHECK(body["conflict"]["changes"][0]["changed_by"] == "sato");
                CHECK(body["conflict"]["difference"][0]["after"] == 7);
            }
        }
    }
}

TEST_CASE("admin_api: targets, status and time line are shown")
{
    admin_fixture f;
    const auto targets =
        json::parse(f.call("GET", "/v1/admin/targets").body)["targets"];
    REQUIRE(targets.size() == 2);
    CHECK(targets[0]["target"] == "t-1");
    CHECK(targets[0]["live"] == true);
    CHECK(targets[1]["target"] == "t-2");
    CHECK(targets[1]["live"] == false);
    const auto status = json::parse(f.call("GET", "/v1/admin/status").body);
    CHECK(status["version"] == 1);
    CHECK(status["everywhere"] == true);
    CHECK(status["processes"].size() == 3);
    const auto events = json::parse(
        f.call("GET", "/v1/admin/timeline?target=t-1&from_us=5&to_us=9&"
                      "submission=1-2-3-4")
            .body)["events"];
    CHECK(events[0]["kind"] == "run_began");
    CHECK(f.last_filter.target == "t-1");
    CHECK(f.last_filter.submission == "1-2");
    CHECK(f.last_filter.from_us == 5);
    CHECK(f.last_filter.to_us == 9);
    CHECK(f.call("GET", "/v1/admin/timeline?from_us=x").status == 400);
    f.view.reset();
    CHECK(f.call("GET", "/v1/admin/status").status == 503);
}
