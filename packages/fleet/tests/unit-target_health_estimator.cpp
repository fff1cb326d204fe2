#include <agatebank/fleet/job_admission.hpp>
#include <agatebank/fleet/target_health_estimator.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

} // namespace

TEST_CASE(
    "target_health_estimator: a target is suspect after successive failures")
{
    target_health_estimator w;
    for (int i = 0; i < 3; ++i)
    {
        w.on_failed(start);
        CHECK_FALSE(w.suspect(start));
    }
    w.on_failed(start);
    CHECK(w.suspect(start));
    SECTION("one successful run clears the suspicion")
    {
        w.on_done(60ms, 60ms, start);
        CHECK_FALSE(w.suspect(start));
    }
    SECTION("old failures are ignored")
    {
        CHECK_FALSE(w.suspect(start + 5s));
    }
}

TEST_CASE(
    "target_health_estimator: a target with isolated failures is not suspect")
{
    target_health_estimator w;
    for (int i = 0; i < 100; ++i)
    {
        i % 3 == 0 ? w.on_failed(start) : w.on_done(60ms, 60ms, start);
        CHECK_FALSE(w.suspect(start));
    }
}

TEST_CASE(
    "target_health_estimator: distinguishes a slowdown from normal variation")
{
    target_health_estimator w;
    for (int i = 0; i < 20; ++i)
    {
        w.on_done(i % 2 == 0 ? 50ms : 80ms, 60ms, start);
    }
    CHECK(w.slowdown(start) == 1);
    for (int i = 0; i < 20; ++i)
    {
        w.on_done(360ms, 60ms, start);
    }
    CHECK(w.slowdown(start) > 3);
    CHECK(w.slowdown(start + 10s) == 1);
}

TEST_CASE("is_stalled: true only if a restart would finish clearly earlier")
{
    struct row
    {
        duration age;
        duration expected;
        int percent;
        bool stalled;
    };
    const row rows[] = {{100ms, 60ms, 0, false},  {300ms, 60ms, 0, true},
                        {300ms, 60ms, 90, false}, {2s, 900ms, 80, false},
                        {2s, 900ms, 20, true},    {1s, 900ms, 0, false}};
    for (const auto& it : rows)
    {
        INFO(it.age.count() << " us at " << it.percent << " %");
        CHECK(is_stalled({it.age, it.expected, it.percent}) == it.stalled);
    }
}

TEST_CASE(
    "job_admission: refuses a job that would finish too late to be useful")
{
    struct row
    {
        admission_input q;
        bool admitted;
        duration retry_after;
    };
    const row rows[] = {{{true, 100ms, 150ms, 2s}, true, 0s},
                        {{true, 1900ms, 150ms, 2s}, true, 0s},
                        {{true, 2100ms, 150ms, 2s}, false, 1950ms},
                        {{true, 60s, 150ms, 2s}, false, 10s},
                        {{false, 100ms, 150ms, 2s}, false, 1s}};
    for (const auto& it : rows)
    {
        const auto a = decide_admission(it.q);
        CHECK(a.admitted == it.admitted);
        CHECK(a.retry_after == it.retry_after);
    }
}

// Guards against a target that hangs half of its runs and still gets its full
// share of the work, and against one that is avoided for a single hung run or
// for long.
TEST_CASE("target_health_estimator: reports the share of hung runs")
{
    struct row
    {
        const char* name;
        int ended;
        int hung;
        std::size_t hanging; ///< now
        duration age;
        double share;
    };
    const row rows[] = {
        {"no hung run", 20, 0, 0, 0ms, 0},   {"a single one", 3, 1, 0, 0ms, 0},
        {"half", 10, 10, 0, 0ms, 0.5},       {"two of few", 0, 2, 0, 0ms, 0.25},
        {"hanging now", 6, 0, 2, 0ms, 0.25}, {"long ago", 10, 10, 0, 9s, 0}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        target_health_estimator health;
        const time_point now(1h);
        for (int i = 0; i < it.ended + it.hung; ++i)
        {
            health.on_run_end(i < it.hung, now);
        }
        CHECK(health.hang_share(it.hanging, now + it.age) == Approx(it.share));
        health.reset();
        CHECK(health.hang_share(0, now) == 0);
    }
}

// Guards against a long run with seven times the expected work that is taken
// for a hung one: it proceeds by 1 % in a fourteenth of its expected time.
TEST_CASE("target_health_estimator: a slow run that proceeds does not hang")
{
    CHECK_FALSE(is_hanging(900ms * 7 / 100, 900ms));
    CHECK_FALSE(is_hanging(60ms * 7 / 100, 60ms));
    CHECK(is_hanging(200ms, 60ms));
    CHECK(is_hanging(400ms, 900ms));
}
