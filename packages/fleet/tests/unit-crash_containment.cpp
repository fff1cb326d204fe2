#include <agatebank/fleet/crash_containment.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
const route_name tested_route("r");
const service_name service("desk");

// A containment that knows targets 1 to n, and a route on probation since the
// start, of which one job in ten crashes its targets.
struct containment_fixture
{
    explicit containment_fixture(uint64_t n)
        : containment([](const log_record&) {})
    {
        for (uint64_t i = 1; i <= n; ++i)
        {
            target_profile p;
            p.target = "t" + std::to_string(i);
            p.service = service;
            p.capacity = {16000, 65536, 0};
            target_load l;
            l.accepts_work = true;
            l.capacity = p.capacity;
            targets.emplace(agent_incarnation(i), target_load_tracker(p));
            targets.at(agent_incarnation(i)).set_load(l);
        }
        for (int i = 0; i < 40; ++i)
        {
            containment.on_arrival({tested_route, service, 0.5, 80ms, true},
                                   start);
            containment.on_admitted(tested_route, start);
        }
        for (uint64_t i = 1; i <= 4; ++i)
        {
            containment.on_crashes({{{"job" + std::to_string(i), 0, 0},
                                     tested_route,
                                     service,
                                     {agent_incarnation(i), loss_number(1)},
                                     false,
                                     true,
                                     true}},
                                   start + (i - 4) * 100ms);
        }
        REQUIRE(containment.is_contained(tested_route, start));
    }

    crash_containment containment;
    target_map targets;
};

} // namespace

// Guards against a probation that ends since its targets are away, so that no
// task of the route can be seen to crash one alone, and a second series of
// crashes follows.
TEST_CASE("crash_containment: a route stays contained until enough of its "
          "tasks have run alone without a crash")
{
    struct row
    {
        const char* name;
        int harmless_runs;
        bool contained;
    };
    const row rows[] = {{"no task has run alone", 0, true},
                        {"too few to tell", 10, true},
                        {"enough to tell", 20, false}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        containment_fixture f(53);
        for (int i = 0; i < it.harmless_runs; ++i)
        {
            f.containment.on_isolated_end(tested_route);
        }
        for (auto now = start; now <= start + 2s; now += 250ms)
        {
            f.containment.resize(f.targets, 1, now);
        }
        CHECK(f.containment.is_contained(tested_route, start + 2s) ==
              it.contained);
    }
}

// Guards against tasks of a crashed target that are placed together again, so
// that the next crash hits all of them and the cause stays unknown.
TEST_CASE("crash_containment: remembers where tasks of a lost target went")
{
    containment_fixture f(3);
    const agent_incarnation lost(1);
    f.containment.add_replacement(lost, agent_incarnation(2), start);
    f.containment.add_replacement(lost, agent_incarnation(3), start + 1s);
    CHECK(f.containment.replacements(lost, start + 1s) ==
          std::set{agent_incarnation(2), agent_incarnation(3)});
    CHECK(f.containment.replacements(agent_incarnation(2), start).empty());
    CHECK(f.containment.replacements(lost, start + 3s).empty());
    f.containment.add_replacement(lost, agent_incarnation(2), start + 3s);
    CHECK(f.containment.replacements(lost, start + 3s) ==
          std::set{agent_incarnation(2)});
}
