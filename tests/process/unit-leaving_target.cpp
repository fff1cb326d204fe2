// A target that is leaving receives no new work after 3 s.
#include "steady_load.hpp"

#include <csignal>
#include <functional>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr auto leaving_time = 3s;
constexpr auto observed = 6s;
constexpr const char* leaver = "t-2";

void drain(trial& t, std::size_t entry)
{
    const auto r = t.nodes.admin(
        entry, "POST", std::string("/v1/admin/targets/") + leaver + "/drain");
    CHECK(r.status / 100 == 2);
}

struct leaving_case
{
    const char* name;
    std::function<void(trial&)> leave;
};

const leaving_case cases[] = {
    {"an operator drains it",
     [](trial& t)
     {
         drain(t, 0);
     }},
    {"an operator drains it at an entry that its agent cannot see",
     [](trial& t)
     {
         t.nodes.relay(leaver, 0).block(true);
         t.nodes.relay(leaver, 0).forget();
         drain(t, 0);
     }},
    {"an operator stops it",
     [](trial& t)
     {
         const auto r = t.nodes.admin(
             1, "POST", std::string("/v1/admin/targets/") + leaver + "/stop");
         CHECK(r.status / 100 == 2);
     }},
    {"it says goodbye",
     [](trial& t)
     {
         t.nodes.process("target-t-2").signal(SIGTERM);
     }},
    {"it stops announcing itself",
     [](trial& t)
     {
         t.nodes.target_mode(leaver, {{"announce", false}});
     }},
    {"a configuration removes it",
     [](trial& t)
     {
         const auto r = t.nodes.admin(
             2, "PUT", "/v1/admin/inventory",
             nlohmann::json::parse(inventory_without(t.nodes, leaver)));
         CHECK(r.status / 100 == 2);
     }},
};

std::size_t starts_after(const ledger& starts, int64_t at_us)
{
    std::size_t n = 0;
    for (const auto& s : starts.starts())
    {
        n += s.target == leaver && s.at_us > at_us ? 1 : 0;
    }
    return n;
}

} // namespace

TEST_CASE("a leaving target gets no work after 3 s", "[leaving_target]")
{
    for (const auto& row : cases)
    {
        SECTION(row.name)
        {
            small_options o;
            o.relays = true;
            trial t(make_small(o));
            steady_load load(t);
            load.start();
            run_for(t.loop, 1s);
            CHECK(starts_after(t.nodes.read_ledger(), 0) > 0);
            const auto left_us = g_get_monotonic_time();
            row.leave(t);
            run_for(t.loop, observed);
            const auto before = load.complete();
            run_for(t.loop, 1s);
            CHECK(load.complete() > before);
            load.finish();
            CHECK(starts_after(t.nodes.read_ledger(),
                               left_us + duration(leaving_time).count()) == 0);
            t.check();
            t.check_slots();
        }
    }
}
