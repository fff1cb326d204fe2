#include <agatebank/node/node_settings.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using nlohmann::json;

namespace
{

json entry_document()
{
    return json{{"name", "entry-1"},
                {"failure_domain", "z1"},
                {"node",
                 {{"address", "127.0.0.1"},
                  {"link_port", 7000},
                  {"seeds", json::array()},
                  {"metrics", "127.0.0.1:7001"},
                  {"callers", "127.0.0.1:7002"},
                  {"readiness", "127.0.0.1:7003"},
                  {"table_service", "127.0.0.1:7004"}}}};
}

} // namespace

// Guards against an advertised address that can't be dialled, which would leave
// an entry without agents.
TEST_CASE("node_settings: the advertised address of an entry is an IP address")
{
    auto d = entry_document();
    const auto unset = parse_node_settings(d, node_role::entry, "f");
    REQUIRE(unset);
    CHECK(unset->advertised_address.empty());
    for (const auto& it : {"127.0.4.1", "::1"})
    {
        d["node"]["advertised_address"] = it;
        const auto set = parse_node_settings(d, node_role::entry, "f");
        REQUIRE(set);
        CHECK(set->advertised_address == it);
    }
    for (const auto& it : {json(""), json("entry-1"), json("127.0.4.1:7000"),
                           json("127.0.4"), json(1)})
    {
        INFO(it);
        d["node"]["advertised_address"] = it;
        CHECK_FALSE(parse_node_settings(d, node_role::entry, "f"));
    }
}

// Guards against an entry that relays jobs without being told to, and against
// an invalid setting that is taken for a valid one.
TEST_CASE("node_settings: relay and poll spacing are off unless set, and "
          "validated")
{
    auto d = entry_document();
    const auto unset = parse_node_settings(d, node_role::entry, "f");
    REQUIRE(unset);
    CHECK_FALSE(unset->relay);
    CHECK(unset->poll_spacing == duration(0));
    d["node"]["relay"] = true;
    d["node"]["poll_spacing_us"] = 2000;
    const auto set = parse_node_settings(d, node_role::entry, "f");
    REQUIRE(set);
    CHECK(set->relay);
    CHECK(set->poll_spacing == std::chrono::milliseconds(2));
    struct row
    {
        const char* name;
        json value;
    };
    for (const auto& it :
         {row{"relay", "yes"}, row{"relay", 1}, row{"poll_spacing_us", -1},
          row{"poll_spacing_us", 20001}})
    {
        INFO(it.name << " " << it.value);
        auto bad = entry_document();
        bad["node"][it.name] = it.value;
        CHECK_FALSE(parse_node_settings(bad, node_role::entry, "f"));
    }
}
