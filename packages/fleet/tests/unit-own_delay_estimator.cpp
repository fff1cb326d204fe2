#include "overload_replay.hpp"
#include <agatebank/fleet/own_delay_estimator.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

// One entry of four whose process runs for the first fifth of each tenth of a
// second.
replay_options with_slow_entry(double load)
{
    replay_options options;
    options.kinds = {replay_kind{"short", 8, 60ms, 26 * load},
                     replay_kind{"medium", 2, 200ms, 75 * load},
                     replay_kind{"long", 4, 900ms, 4.7 * load}};
    options.entry_pause = [](int entry, duration since)
    {
        const auto used = since % 100ms;
        return entry != 0 || used < 20ms ? duration(0) : 100ms - used;
    };
    return options;
}

// Checks the refusals of the slow entry on three days.
void check_refusals(double load,
                    const std::function<int(std::map<int, int>)>& bound)
{
    auto options = with_slow_entry(load);
    for (int day = 0; day < 3; ++day)
    {
        ++options.seed;
        auto refused = replay(options).refused_by_entry;
        INFO("load " << load << ", seed " << options.seed << ", refused "
                     << refused[0] << " and " << refused[1] << ", "
                     << refused[2] << ", " << refused[3]);
        CHECK(refused[0] <= bound(refused));
    }
}

} // namespace

// Guards against an estimate that follows single runs, that never expires, or
// that is negative as an agent's clock runs faster, and against an own delay
// of entries that are not slow.
TEST_CASE("own_delay_estimator: median over the last second")
{
    struct row
    {
        const char* name;
        std::vector<duration> delays;
        duration age;
        duration expected;
    };
    const std::vector<duration> usual(9, 4ms);
    const row rows[] = {
        {"not slow", usual, 0ms, 0ms},
        {"one pause", {4ms, 4ms, 4ms, 4ms, 4ms, 4ms, 4ms, 4ms, 9s}, 0ms, 0ms},
        {"throttled", std::vector<duration>(9, 80ms), 0ms, 80ms},
        {"few runs", {80ms, 80ms}, 0ms, 0ms},
        {"old runs", std::vector<duration>(9, 80ms), 1001ms, 0ms},
        {"reported times exceed the order's", std::vector<duration>(9, -5ms),
         0ms, 0ms}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        own_delay_estimator e;
        for (const auto d : it.delays)
        {
            e.on_run_end(d, start);
        }
        CHECK(e.order_delay(start + it.age) == it.expected);
        CHECK(e.loop_lag(start) == 0ms);
        e.on_loop_lag(30ms, start);
        CHECK(e.loop_lag(start) == 30ms);
        CHECK(e.loop_lag(start + 1001ms) == 0ms);
    }
}

// Guards against jobs that are refused as late because the process of their
// entry is throttled: a refusal makes no target free that others wait for.
TEST_CASE("own_delay: a slow entry refuses no job while targets are free")
{
    for (const double load : {0.4, 0.7})
    {
        check_refusals(load, [](const auto&) { return 0; });
    }
}

// Guards against a slow entry that takes its own delay for that of targets
// which are full for moments: it refuses no more than a fast one.
TEST_CASE("own_delay: a slow entry refuses no more jobs than a fast one")
{
    for (const double load : {0.8, 0.9})
    {
        check_refusals(load, [](auto refused)
                       { return (refused[1] + refused[2] + refused[3]) / 3; });
    }
}

// Guards against an entry that takes a real overload for its own delay.
TEST_CASE("own_delay: load shedding works beside a slow entry")
{
    replay_result results[2];
    for (const bool on : {false, true})
    {
        auto options = with_slow_entry(1);
        options.kinds[2].burst = 2.4;
        options.returns = {on, on};
        options.shed_load = on;
        results[on] = replay_days(options, 4);
    }
    INFO("off: " << results[0].text() << "\non: " << results[1].text());
    CHECK(results[1].never_twice());
    CHECK(results[1].shed > 0);
    CHECK(results[1].value_share() > results[0].value_share());
    for (const auto& [name, k] : results[1].kinds)
    {
        INFO(name);
        // The highest minimum that a customer asks for.
        CHECK(k.value_share() >= 0.44);
    }
}
