#include <agatebank/agent/agent_settings.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using nlohmann::json;

namespace
{

json valid()
{
    return json::parse(R"({"name":"agent-1","target":"t-1",
        "failure_domain":"sapporo","http":{"address":"127.0.0.1","port":9101},
        "entries":[{"address":"127.0.0.1","port":8201}],
        "shared_key_file":"key","log":{"file":"a.log","level":"debug"}})");
}

} // namespace

TEST_CASE("agent_settings: every field of a valid document is read")
{
    const auto got = parse_agent_settings(valid(), "agent.json");
    REQUIRE(got);
    CHECK(got->name == "agent-1");
    CHECK(got->target == target_name("t-1"));
    CHECK(got->failure_domain == failure_domain_name("sapporo"));
    CHECK(got->http == endpoint{"127.0.0.1", 9101});
    CHECK(got->entries == std::vector<endpoint>{{"127.0.0.1", 8201}});
    CHECK(got->shared_key_file == "key");
    CHECK(got->log_file == "a.log");
    CHECK(got->log_level == "debug");
}

TEST_CASE(
    "agent_settings: an invalid field is refused with path, found and expected")
{
    struct row
    {
        const char* path;
        json value;
        const char* error;
    };
    const row rows[] = {
        {"/name", "", "at /name: found \"\", expected a non-empty string"},
        {"/target", 7, "at /target: found 7, expected a non-empty string"},
        {"/http/address", "localhost",
         "at /http/address: found \"localhost\", expected an IP address"},
        {"/http/port", 70000,
         "at /http/port: found 70000, expected a whole number from 0 to "
         "65535"},
        {"/http/tls", true,
         "at /http/tls: found an unknown field, expected no such field"},
        {"/entries", json::array(),
         "at /entries: found 0 entries, expected 1 to 64 entries"},
        {"/entries/0/port", 0,
         "at /entries/0/port: found 0, expected a whole number from 1 to "
         "65535"},
        {"/entries/1",
         {{"address", "127.0.0.1"}, {"port", 8201}},
         "at /entries/1: found \"127.0.0.1:8201\", expected no duplicate "
         "entry"},
        {"/log/level", "loud",
         "at /log/level: found \"loud\", expected debug, info, warning or "
         "error"},
        {"/slots", 8,
         "at /slots: found an unknown field, expected no such field"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.path)
        {
            auto document = valid();
            document[json::json_pointer(r.path)] = r.value;
            const auto got = parse_agent_settings(document, "agent.json");
            REQUIRE(!got);
            CHECK(got.error().code == errc::settings_invalid);
            CHECK(got.error().peer == "agent.json");
            CHECK(got.error().detail == r.error);
        }
    }
}
