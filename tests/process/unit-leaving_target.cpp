// Guards against tasks that start at a target more than 3 s after it was
// drained, stopped or removed, or stopped announcing itself.
#include "steady_load.hpp"

#include <csignal>
#include <functional>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr auto max_leaving_time = 3s;
constexpr auto observation_time = 6s;
constexpr const char* leaving_target = "t-2";

void drain(cluster_fixture& t, std::size_t entry)
{
    const auto r = t.nodes.admin(entry, "POST",
                                 std::string("/v1/admin/targets/") +
                                     leaving_target + "/drain");
    CHECK(r.status / 100 == 2);
}

struct leaving_case
{
    const char* name;
    std::function<void(cluster_fixture&)> leave;
};

const leaving_case cases[] = {
    {"an operator drains it",
     [](cluster_fixture& t)
     {
         drain(t, 0);
     }},
    {"an operator drains it at an entry that its agent cannot reach",
     [](cluster_fixture& t)
     {
         t.nodes.relay(leaving_target, 0).block(true);
         t.nodes.relay(leaving_target, 0).forget();
         drain(t, 0);
     }},
    {"an operator stops it",
     [](cluster_fixture& t)
     {
         const auto r = t.nodes.admin(1, "POST",
                                      std::string("/v1/admin/targets/") +
                                          leaving_target + "/stop");
         CHECK(r.status / 100 == 2);
     }},
    {"it shuts down on SIGTERM",
     [](cluster_fixture& t)
     {
         t.nodes.process("target-t-2").signal(SIGTERM);
     }},
    {"it stops announcing itself",
     [](cluster_fixture& t)
     {
         t.nodes.target_mode(leaving_target, {{"announce", false}});
     }},
    {"a configuration removes it",
     [](cluster_fixture& t)
     {
         const auto r = t.nodes.admin(
             2, "PUT", "/v1/admin/inventory",
             nlohmann::json::parse(inventory_without(t.nodes, leaving_target)));
         CHECK(r.status / 100 == 2);
     }},
};

std::size_t starts_after(const ledger& starts, int64_t at_us)
{
    std::size_t n = 0;
    for (const auto& s : starts.starts())
    {
        n += s.target == leaving_target && s.at_us > at_us ? 1 : 0;
    }
    return n;
}

} // namespace

TEST_CASE("no task starts at a leaving target after 3 s", "[leaving_target]")
{
    for (const auto& row : cases)
    {
        SECTION(row.name)
        {
            small_options o;
            o.relays = true;
            cluster_fixture t(make_cluster_options(o));
            steady_load load(t);
            load.start();
            run_for(t.loop, 1s);
            CHECK(starts_after(t.nodes.read_ledger(), 0) > 0);
            const auto left_us = g_get_monotonic_time();
            row.leave(t);
            run_for(t.loop, observation_time);
            const auto before = load.complete();
            run_for(t.loop, 1s);
            CHECK(load.complete() > before);
            load.finish();
            CHECK(starts_after(t.nodes.read_ledger(),
                               left_us + duration(max_leaving_time).count()) ==
                  0);
            t.check_invariants();
            t.check_slots();
        }
    }
}
