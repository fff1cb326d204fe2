#include <agatebank/entry/entry_settings.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace agatebank;

namespace
{

nlohmann::json sample()
{
    return nlohmann::json::parse(R"({
        "name": "entry-1", "failure_domain": "sapporo",
        "http": {"address": "127.0.0.1", "port": 8101},
        "wire": {"address": "127.0.0.1", "port": 8201},
        "peers": [{"address": "127.0.0.1", "port": 8202}],
        "platform": {"url": "http://127.0.0.1:8001/tables/agatebank"}})");
}

} // namespace

TEST_CASE("entry_settings: a valid document is read")
{
    auto document = sample();
    document["timing"] = {{"agent_loss_ms", 5000}};
    document["limits"] = {{"id_validity_s", 20}};
    const auto s = parse_entry_settings(document, "entry.json");
    REQUIRE(s);
    CHECK(s->wire.port == 8201);
    CHECK(s->peers.size() == 1);
    CHECK(s->agent_loss_timeout == std::chrono::seconds(5));
    CHECK(s->submissions.validity == std::chrono::seconds(20));
}

// Guards against settings errors that an operator cannot locate.
TEST_CASE("entry_settings: errors name file, path, found and expected value")
{
    struct row
    {
        const char* pointer;
        nlohmann::json value;
        const char* detail;
    };
    const row rows[] = {
        {"/http/port", 0, "at /http/port: found 0, expected a whole number"},
        {"/http/address", "localhost",
         "at /http/address: found \"localhost\", expected an IP address"},
        {"/peers/0/port", "x", "at /peers/0/port: found \"x\""},
        {"/wire", 7, "at /wire: found 7, expected an object"},
        {"/log/level", "loud", "at /log/level: found \"loud\""},
        {"/timing/heartbeat_ms", 0, "at /timing/heartbeat_ms: found 0"},
        {"/http/tls_key", "key.pem", "at /http: found one of"},
        {"/colour", "red", "at /colour: found an unknown field"},
    };
    for (const auto& r : rows)
    {
        SECTION(r.pointer)
        {
            auto document = sample();
            document[nlohmann::json::json_pointer(r.pointer)] = r.value;
            const auto s = parse_entry_settings(document, "entry.json");
            REQUIRE(!s);
            CHECK(s.error().code == errc::settings_invalid);
            CHECK(s.error().peer == "entry.json");
            CHECK(s.error().detail.rfind(r.detail, 0) == 0);
        }
    }
}
