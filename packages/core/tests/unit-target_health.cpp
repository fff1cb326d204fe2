#include <agatebank/core/target_health.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{};

// A monitor of 10 targets that have answered one start each.
health_monitor ten_targets()
{
    health_monitor health({});
    for (uint64_t i = 0; i < 10; ++i)
    {
        const agent_incarnation agent(i);
        health.add(agent);
        health.on_start(agent, 1s, start);
        health.on_answer(agent, start);
    }
    return health;
}

void fail_job(health_monitor& health, uint64_t agent, uint64_t job,
              time_point now)
{
    health.on_start(agent_incarnation(agent), 1s, now);
    health.on_failure(agent_incarnation(agent), job_key(job), now);
}

} // namespace

TEST_CASE("target_health: only failures above those of the peers eject")
{
    struct row
    {
        const char* name;
        std::vector<uint64_t> jobs;          // that fail in a row at target 0
        std::vector<uint64_t> failing_peers; // targets that fail them as well
        health_state state;
    };
    const row rows[] = {
        {"one failure", {1}, {}, health_state::healthy},
        {"one job of many tasks",
         {1, 1, 1, 1, 1, 1},
         {},
         health_state::healthy},
        {"two jobs", {1, 2}, {}, health_state::suspect},
        {"three jobs", {1, 2, 3}, {}, health_state::ejected},
        {"jobs that fail at all targets",
         {1, 2, 3, 4},
         {1, 2, 3, 4, 5, 6, 7, 8, 9},
         health_state::suspect},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            auto health = ten_targets();
            for (const auto job : r.jobs)
            {
                for (const auto peer : r.failing_peers)
                {
                    fail_job(health, peer, job, start);
                }
                fail_job(health, 0, job, start);
            }
            CHECK(health.state(agent_incarnation(0), start) == r.state);
        }
    }
}

TEST_CASE("target_health: a target without answers is suspect until it answers")
{
    auto health = ten_targets();
    const agent_incarnation agent(3);
    health.on_start(agent, 1s, start);
    CHECK(health.may_start(agent, start + 900ms));
    CHECK(health.state(agent, start + 1100ms) == health_state::suspect);
    CHECK_FALSE(health.may_start(agent, start + 1100ms));
    health.on_answer(agent, start + 2s);
    CHECK(health.may_start(agent, start + 2s));
}

TEST_CASE("target_health: the ejection period doubles with each failed probe")
{
    auto health = ten_targets();
    auto now = start;
    fail_job(health, 0, 1, now);
    fail_job(health, 0, 2, now);
    fail_job(health, 0, 3, now);
    duration period = 1s;
    for (uint64_t job = 4; job < 12; ++job)
    {
        const agent_incarnation agent(0);
        CHECK(health.state(agent, now + period / 2 - 1ms) ==
              health_state::ejected);
        now += 3 * period / 2;
        REQUIRE(health.state(agent, now) == health_state::probing);
        health.on_start(agent, 1s, now);
        CHECK_FALSE(health.may_start(agent, now));
        health.on_failure(agent, job_key(job), now);
        period = std::min<duration>(2 * period, 60s);
    }
}

TEST_CASE("target_health: ejections stay limited and always end")
{
    rc::prop(
        "any sequence of failures, answers and removals",
        []
        {
            auto health = ten_targets();
            std::set<uint64_t> known{0, 1, 2, 3, 4, 5, 6, 7, 8, 9};
            auto now = start;
            uint64_t job = 0;
            const auto steps =
                *rc::gen::container<std::vector<std::pair<int, int>>>(
                    rc::gen::pair(rc::gen::inRange(0, 10),
                                  rc::gen::inRange(0, 12)));
            for (const auto& [target, step] : steps)
            {
                const agent_incarnation agent(target);
                now += 100ms;
                if (step < 10 && health.may_start(agent, now))
                {
                    health.on_start(agent, 1s, now);
                    step < 8 ? health.on_failure(agent, job_key(++job), now)
                             : health.on_answer(agent, now);
                }
                else if (step == 10)
                {
                    health.remove(agent);
                    known.erase(target);
                }
                std::size_t out = 0;
                for (const auto it : known)
                {
                    const auto s = health.state(agent_incarnation(it), now);
                    out += s == health_state::ejected ||
                           s == health_state::probing;
                }
                RC_ASSERT(out == health.ejected());
                RC_ASSERT(out <= known.size() * 34 / 100);
            }
            now += 91s; // above the longest period with its jitter
            for (const auto it : known)
            {
                const agent_incarnation agent(it);
                RC_ASSERT(health.may_start(agent, now));
                health.on_start(agent, 1s, now);
                health.on_answer(agent, now);
                RC_ASSERT(health.state(agent, now) == health_state::healthy);
            }
        });
}
