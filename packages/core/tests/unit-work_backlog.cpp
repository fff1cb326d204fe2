#include <agatebank/core/offered_load.hpp>
#include <agatebank/core/retry_pacer.hpp>
#include <agatebank/core/work_backlog.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{};

} // namespace

TEST_CASE("work_backlog: rounding is down and at most a sixteenth of the wait")
{
    for (const duration wait : {duration(0), duration(1), duration(700ms),
                                duration(6s), duration(1h)})
    {
        const auto at = start + 12345678us;
        const auto bucket = work_backlog::bucket_of(true, at, wait);
        CHECK(bucket.latest_start <= at);
        CHECK(bucket.latest_start >= at - std::max<duration>(1us, wait / 16));
    }
}

TEST_CASE("work_backlog: added work must not delay later work past its start")
{
    work_backlog backlog;
    const backlog_bucket urgent{false, start + 50s};
    const backlog_bucket early{true, start + 2s};
    const backlog_bucket late{true, start + 4s};
    backlog.add(early, 3s);
    backlog.add(late, 4s);
    CHECK(backlog.ahead_of(urgent) == 0s);
    CHECK(backlog.ahead_of(early) == 3s);
    CHECK(backlog.ahead_of(late) == 7s);

    struct row
    {
        const char* name;
        backlog_bucket bucket;
        work extra;
        bool fits;
    };
    const row rows[] = {
        {"after all other work", {true, start + 9s}, 100s, true},
        {"before other work, all in time", early, 1s, true},
        {"before other work, late work misses its start", early, 2s, false},
        {"never delayed, early work misses its start", urgent, 1100ms, false},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            CHECK(backlog.fits(r.bucket, r.extra, 0s, 2, start) == r.fits);
        }
    }
    backlog.remove(early, 3s);
    backlog.remove(late, 4s);
    CHECK(backlog.total() == 0s);
}

TEST_CASE("offered_load: counts only shorter waits, and only recent ones")
{
    offered_load load;
    auto now = start;
    for (int i = 0; i < 300; ++i, now += 100ms)
    {
        load.add(2s, 300ms, now); // 3 s of work per second
    }
    CHECK(load.rate_below(2s, now) == 0);
    CHECK(load.rate_below(3s, now) == Approx(3).epsilon(0.05));
    CHECK(load.rate_below(60s, now) == Approx(3).epsilon(0.05));
    load.add(0s, 300ms, now); // never delayed
    CHECK(load.is_shortest(2s, now));
    CHECK(load.has_longer(1s, now));
    CHECK_FALSE(load.has_longer(2s, now));
    CHECK_FALSE(load.is_shortest(3s, now));
    CHECK(load.is_shortest(3s, now + 60s));
}

TEST_CASE("offered_load: a short burst is not expected to persist")
{
    offered_load load;
    auto now = start;
    for (int i = 0; i < 660; ++i, now += 100ms)
    {
        load.add(2s, i < 600 ? 300ms : 1500ms, now);
    }
    CHECK(load.rate_below(3s, now) > 9);
    CHECK(load.rate_below(60s, now) < 6);
}

TEST_CASE("retry_pacer: pauses grow up to a limit and a run resets them")
{
    retry_pacer pacer(1);
    const agent_incarnation agent(1);
    CHECK(pacer.may_start(agent, start));
    pacer.on_refusal(agent, start);
    CHECK_FALSE(pacer.may_start(agent, start + 2ms));
    CHECK(pacer.may_start(agent, start + 8ms));
    for (int i = 0; i < 10; ++i)
    {
        pacer.on_refusal(agent, start);
    }
    CHECK_FALSE(pacer.may_start(agent, start + 300ms));
    CHECK(pacer.may_start(agent, start + 1s));
    pacer.on_run(agent);
    CHECK(pacer.may_start(agent, start));
}

TEST_CASE("retry_pacer: refusals above the budget cause the longest pause")
{
    retry_pacer pacer(1);
    for (uint64_t i = 0; i < 20; ++i)
    {
        pacer.on_refusal(agent_incarnation(i), start);
    }
    CHECK(pacer.may_start(agent_incarnation(19), start + 8ms));
    pacer.on_refusal(agent_incarnation(20), start);
    CHECK_FALSE(pacer.may_start(agent_incarnation(20), start + 300ms));
}
