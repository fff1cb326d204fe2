#include "overload_replay.hpp"
#include <agatebank/fleet/forecast_correction.hpp>
#include <agatebank/fleet/load_shedding.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
const service_name service("desk");

// An eighth of the load of 77 targets, for 9 targets of 32 cores.
std::vector<replay_kind> usual_kinds(double factor)
{
    return {replay_kind{"short", 8, 60ms, 26 * factor},
            replay_kind{"medium", 2, 200ms, 75 * factor},
            replay_kind{"long", 4, 900ms, 4.7 * factor}};
}

replay_options with_overload_control(replay_options options, bool on)
{
    options.returns = {on, on};
    options.shed_load = on;
    options.report_hangs = on;
    return options;
}

// Compares a day of old load reports with and without overload control.
void check_each_kind_earns_its_minimum(replay_options options)
{
    options.report_period = 100ms;
    replay_result results[2];
    for (const bool on : {false, true})
    {
        results[on] = replay_days(with_overload_control(options, on), 4);
    }
    INFO("off: " << results[0].text() << "\non: " << results[1].text());
    CHECK(results[1].never_twice());
    CHECK(results[1].value_share() > results[0].value_share());
    for (const auto& [name, k] : results[1].kinds)
    {
        INFO(name);
        // The highest minimum that a customer asks for.
        CHECK(k.value_share() >= 0.44);
        CHECK(k.largest_served >= 0.5 * k.served_share() * k.largest_jobs);
    }
}

} // namespace

// Guards against a correction that follows single jobs of unusual length, that
// never expires, or that expects earlier ends than the forecast itself.
TEST_CASE("forecast_correction: leaves out a third of unusual jobs")
{
    struct row
    {
        const char* name;
        int jobs;
        duration usual; ///< actual time of all but every third job
        duration third; ///< of every third one
        duration age;
        double ratio;
    };
    const row rows[] = {{"as expected", 12, 100ms, 100ms, 0ms, 1},
                        {"a third is far too late", 12, 100ms, 9s, 0ms, 1},
                        {"all twice as long", 12, 200ms, 200ms, 0ms, 2},
                        {"earlier than expected", 12, 50ms, 50ms, 0ms, 1},
                        {"few jobs", 4, 200ms, 200ms, 0ms, 1},
                        {"old jobs", 12, 200ms, 200ms, 1100ms, 1}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        forecast_correction correction;
        for (int i = 0; i < it.jobs; ++i)
        {
            correction.on_end(service, 1, 100ms,
                              i % 3 == 2 ? it.third : it.usual, false, start);
        }
        // The jobs of all bands stand for one without ended jobs.
        for (const std::size_t band : {0, 1})
        {
            CHECK(correction.error(service, band, start + it.age).ratio ==
                  Approx(it.ratio));
        }
        CHECK(correction.error(service_name("other"), 1, start).jobs == 0);
    }
}

// Guards against refusals without an overload, and against a route that gets
// nothing, or that floods the service at the cost of others.
TEST_CASE("load_shedding: decides who is served")
{
    const forecast_error calm{20, 1, 0ms, 0.1};
    const forecast_error overload{20, 1, 0ms, 0.5};
    const forecast_error twice{20, 2, 200ms, 0.5};
    const route_demand served{10, 9, 10, 10};
    const route_demand starved{10, 5, 10, 10};
    const route_demand half_of_flood{30, 15, 10, 30};
    struct row
    {
        const char* name;
        duration finish;
        double utilisation;
        forecast_error error;
        route_demand demand;
        shedding_verdict verdict;
        duration own_delay{};
    };
    using verdict = shedding_verdict;
    const row rows[] = {
        {"on time", 90ms, 1.2, overload, served, verdict::serve},
        {"late", 150ms, 1.2, overload, served, verdict::shed},
        {"late by the correction", 90ms, 1.2, twice, served, verdict::shed},
        {"useless by the correction", 180ms, 1.2, twice, served,
         verdict::useless},
        {"late without an overload", 150ms, 1.2, calm, served, verdict::serve},
        {"late on targets with room", 150ms, 0.8, overload, served,
         verdict::serve},
        {"late, below its minimum", 150ms, 1.2, overload, starved,
         verdict::serve},
        {"late, of a route that floods", 150ms, 1.2, overload, half_of_flood,
         verdict::shed},
        {"late only by the entry's own delay", 90ms, 1.2, overload, served,
         verdict::serve, 500ms},
        {"useless by the entry's own delay, late without it", 150ms, 1.2,
         overload, served, verdict::useless, 160ms}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        shedding_input input;
        input.expected_finish = it.finish;
        input.objective = 100ms;
        input.latest_useful = 300ms;
        input.utilisation = it.utilisation;
        input.error = it.error;
        input.demand = it.demand;
        input.own_delay = it.own_delay;
        CHECK(decide_shedding(input) == it.verdict);
    }
}

// Guards against a flood that is taken for the usual demand at once, and
// against a new route that counts as one.
TEST_CASE("load_shedding: tells a flood from the usual demand")
{
    demand_tracker tracker;
    const route_name route("r");
    auto now = start;
    for (int i = 0; i < 200; ++i)
    {
        tracker.on_decision(route, true, now += 100ms);
    }
    const auto usual = tracker.demand(route, now);
    CHECK(usual.rate == Approx(10).epsilon(0.1));
    CHECK(usual.usual_rate == Approx(10).epsilon(0.1));
    for (int i = 0; i < 100; ++i)
    {
        tracker.on_decision(route, i % 2 == 0, now += 20ms);
    }
    const auto flood = tracker.demand(route, now);
    CHECK(flood.rate > 3 * usual.rate);
    CHECK(flood.rate > 1.8 * flood.usual_rate);
    CHECK(flood.admitted / flood.offered < 0.65);
    for (int i = 0; i < 10; ++i)
    {
        tracker.on_decision(route_name("new"), true, now += 20ms);
    }
    const auto fresh = tracker.demand(route_name("new"), now);
    CHECK(fresh.rate == Approx(fresh.usual_rate).epsilon(0.2));
}

// Guards against a burst of long jobs, 25 % over the capacity for 5 s, that
// makes most jobs of all kinds late.
TEST_CASE("load_shedding: a burst of long jobs beside short ones leaves each "
          "kind its share")
{
    replay_result results[2];
    for (const bool on : {false, true})
    {
        replay_options options;
        options.kinds = usual_kinds(1);
        options.kinds[2].burst = 2.4;
        results[on] = replay_days(with_overload_control(options, on), 4);
    }
    INFO("off: " << results[0].text() << "\non: " << results[1].text());
    CHECK(results[1].never_twice());
    CHECK(results[1].max_returns_of_task <= 1);
    CHECK(results[1].value_share() > results[0].value_share());
    for (const auto& [name, k] : results[1].kinds)
    {
        INFO(name);
        // The highest minimum that a customer asks for.
        CHECK(k.value_share() >= 0.44);
        CHECK(k.largest_served >= 0.5 * k.served_share() * k.largest_jobs);
    }
}

// Guards against a peak at which a band starves, or at which urgent jobs are
// shed for less urgent ones.
TEST_CASE("load_shedding: twice the usual load in three bands")
{
    replay_options options;
    options.targets = 6;
    options.target_millis = 64000;
    options.task_millis = 4900;
    options.kinds = {replay_kind{"short", 8, 51ms, 22.6, 0, 2},
                     replay_kind{"medium", 2, 170ms, 66, 1, 2},
                     replay_kind{"long", 4, 760ms, 4.1, 2, 2}};
    check_each_kind_earns_its_minimum(options);
}

// Guards against a route that floods at the cost of the others.
TEST_CASE("load_shedding: three times the usual short jobs")
{
    replay_options options;
    options.kinds = usual_kinds(1);
    options.kinds[0].burst = 3;
    check_each_kind_earns_its_minimum(options);
}

// Guards against targets that flap, and are mistaken for an overload or make
// their orders wander.
TEST_CASE("load_shedding: targets that go down and up every 1.5 s")
{
    replay_result results[2];
    for (const bool on : {false, true})
    {
        replay_options options;
        options.kinds = usual_kinds(0.8);
        options.is_up = [](int target, duration since)
        {
            return target % 3 != 0 || (since / 1500ms) % 2 == 0;
        };
        results[on] = replay_days(with_overload_control(options, on), 4);
    }
    INFO("off: " << results[0].text() << "\non: " << results[1].text());
    CHECK(results[1].never_twice());
    CHECK(results[1].max_returns_of_task <= 1);
    CHECK(results[1].value_share() >= results[0].value_share());
}

// Guards against jobs that are late since one of their tasks hangs, on targets
// that hang 57 % of their runs, look idle and are seldom suspect.
TEST_CASE(
    "load_shedding: targets that hang a share of their runs get less work")
{
    replay_result results[2];
    for (const bool on : {false, true})
    {
        replay_options options;
        options.kinds = usual_kinds(0.8);
        options.hang_share = [](int target)
        {
            return target % 3 == 0 ? 0.57 : 0;
        };
        results[on] = replay_days(with_overload_control(options, on), 4);
    }
    INFO("off: " << results[0].text() << "\non: " << results[1].text());
    CHECK(results[1].never_twice());
    CHECK(results[1].hung_runs < results[0].hung_runs / 2);
    // The goal for days with faults.
    CHECK(results[1].value_share() >= 0.79);
    for (const auto& [name, k] : results[1].kinds)
    {
        INFO(name);
        CHECK(k.value_share() >= 0.44);
    }
}

// Guards against overload control that changes a day without an overload.
TEST_CASE("load_shedding: without an overload every decision is as before")
{
    replay_result results[2];
    for (const bool on : {false, true})
    {
        replay_options options;
        options.kinds = usual_kinds(0.4);
        results[on] = replay(with_overload_control(options, on));
    }
    INFO(results[1].text());
    REQUIRE(results[0].decisions.size() > 1000);
    CHECK(results[0].decisions == results[1].decisions);
}
