#include <agatebank/core/evacuation_state.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;

namespace
{

evacuation_state state(uint64_t version, const std::set<std::string>& names)
{
    std::set<failure_domain_name> domains;
    for (const auto& it : names)
    {
        domains.insert(failure_domain_name(it));
    }
    return {evacuation_version(version), domains};
}

} // namespace

// Guards against a delayed message that takes back a newer state.
TEST_CASE("evacuation_state: the higher version wins")
{
    struct row
    {
        const char* what;
        evacuation_state known;
        evacuation_state received;
        bool replaced;
    };
    const row rows[] = {
        {"first state", {}, state(3, {}), true},
        {"evacuation", state(3, {}), state(4, {"z1"}), true},
        {"second evacuation", state(4, {"z1"}), state(5, {"z1", "z2"}), true},
        {"removed row", state(5, {"z1", "z2"}), state(6, {"z2"}), true},
        {"delayed evacuation", state(6, {}), state(5, {"z1"}), false},
        {"delayed removal", state(6, {"z1"}), state(5, {}), false},
        {"the same again", state(6, {"z1"}), state(6, {"z1"}), false},
        {"table not read", state(6, {"z1"}), {}, false},
        {"unchanged set", state(6, {"z1"}), state(9, {"z1"}), true}};
    for (const auto& it : rows)
    {
        INFO(it.what);
        auto s = it.known;
        CHECK(s.merge(it.received) == it.replaced);
        CHECK(s == (it.replaced ? it.received : it.known));
    }
    CHECK(state(7, {"z2", "z1"}).to_text() == "table version 7: z1, z2");
    CHECK(state(7, {}).to_text() == "table version 7: none");
}
