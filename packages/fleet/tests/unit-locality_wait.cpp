#include "locality_replay.hpp"
#include <agatebank/fleet/locality_wait.hpp>

#include <catch2/catch.hpp>

#include <cstdio>

using namespace agatebank;

namespace
{

constexpr uint64_t replay_seeds[] = {20261204, 20261205, 20261206};

locality_decision run_where_free(const locality_input& input)
{
    const bool is_free =
        input.near && (!input.elsewhere || input.near->start.count() <= 0);
    return {is_free ? locality_action::run_near
                    : locality_action::run_elsewhere,
            {},
            0};
}

// Waits for up to a fixed share of the run time.
locality_rule wait_share(double share)
{
    return [share](const locality_input& input)
    {
        auto out = run_where_free(input);
        if (input.near && input.near->start.count() > 0 && input.may_wait &&
            input.near->start <= scale(input.near->run, share))
        {
            out = {locality_action::wait_near, scale(input.near->run, share),
                   0};
        }
        return out;
    };
}

replay_result replay(const replay_load& load, const replay_policy& policy)
{
    replay_result sum;
    for (const auto seed : replay_seeds)
    {
        sum.add(locality_replay(load, policy, seed).run());
    }
    return sum;
}

struct named_load
{
    const char* name;
    replay_load load;
};

const named_load replay_loads[] = {
    {"many jobs for one rack", {}},
    {"the same in a burst of 2.5 times", {2.5, 1, 0.6, {}, 2}},
    {"half of the rack is lost", {1, 1, 0.6, 4s, 2}},
    {"calm service, one busy rack", {1, 0.3, 1, {}, 2}}};

place_forecast place(duration start, duration run)
{
    return {start, start + run + 25ms, run, 20ms};
}

} // namespace

// Guards against waiting that costs more than it gains, and against running
// away from the data while a short wait would be on time.
TEST_CASE("locality_wait: waits only while the expected gain is positive")
{
    struct row
    {
        const char* what;
        duration start_near;
        duration run_elsewhere;
        double utilisation;
        locality_action action;
    };
    // 60 ms of work near the data; objective in 160 ms, useful until 480 ms.
    const row rows[] = {
        {"free near the data", 0ms, 120ms, 0.5, locality_action::run_near},
        {"short wait, late elsewhere", 30ms, 150ms, 0.5,
         locality_action::wait_near},
        {"long wait, on time elsewhere", 70ms, 90ms, 0.5,
         locality_action::run_elsewhere},
        {"long wait, on time elsewhere at the cost of others", 70ms, 90ms, 4,
         locality_action::wait_near},
        {"late at both, far later near the data", 400ms, 200ms, 0.5,
         locality_action::run_elsewhere}};
    for (const auto& it : rows)
    {
        INFO(it.what);
        locality_input input;
        input.near = place(it.start_near, 60ms);
        input.elsewhere = place(0ms, it.run_elsewhere);
        input.objective = 160ms;
        input.last_useful = 480ms;
        input.utilisation = it.utilisation;
        const auto decision = decide_locality(input);
        CHECK(decision.action == it.action);
        if (decision.action != locality_action::run_elsewhere)
        {
            CHECK(decision.granted >= input.near->start);
            CHECK(decision.granted + 60ms <= input.last_useful);
        }
        input.may_wait = false;
        CHECK(decide_locality(input).action != locality_action::wait_near);
    }
}

// Guards against a bound on the wait where no other place exists, and against
// a wait for a place that doesn't.
TEST_CASE("locality_wait: decides nothing where only one kind of place exists")
{
    locality_input input;
    input.near = place(50ms, 60ms);
    CHECK(decide_locality(input).granted == 0ms);
    CHECK(decide_locality(input).action == locality_action::run_near);
    input.elsewhere = std::exchange(input.near, std::nullopt);
    CHECK(decide_locality(input).action == locality_action::run_elsewhere);
}

// Guards against changed decisions in deployments without data in racks.
TEST_CASE("locality_wait: is off where no job names a rack or the factor is 1")
{
    const replay_load no_rack{1, 1, 0, {}, 2};
    const replay_load no_factor{1, 1, 0.6, {}, 1};
    for (const auto& [load, factor] :
         {std::pair(no_rack, 2.0), std::pair(no_factor, 1.0)})
    {
        const auto with =
            locality_replay(load, {decide_locality, factor, 0}, replay_seeds[0])
                .run();
        const auto without =
            locality_replay(load, {{}, factor, 0}, replay_seeds[0]).run();
        CHECK(with.decisions == without.decisions);
        CHECK(with.counts.locality_waits == 0);
    }
    const replay_load both;
    CHECK(locality_replay(both, {decide_locality, 2, 0}, replay_seeds[0])
              .run()
              .decisions !=
          locality_replay(both, {{}, 2, 0}, replay_seeds[0]).run().decisions);
}

// Guards against waits that cost the jobs that wait, or the others, more than
// never waiting.
TEST_CASE("locality_wait: no fewer jobs on time than without waiting")
{
    for (const auto& it : replay_loads)
    {
        INFO(it.name);
        const auto never = replay(it.load, {run_where_free, 2, 0});
        const auto waiting = replay(it.load, {decide_locality, 2, 0});
        CHECK(waiting.rack.on_time_share() >= never.rack.on_time_share());
        CHECK(waiting.others.on_time_share() >= never.others.on_time_share());
    }
}

// Prints the figures of docs/design/locality.md; checks nothing.
TEST_CASE("locality_wait: compare the alternatives", "[.figures]")
{
    const std::pair<const char*, replay_policy> policies[] = {
        {"ranked alike", {{}, 2, 0}},
        {"never wait", {run_where_free, 2, 0}},
        {"0.5 of the run time", {wait_share(0.5), 2, 0}},
        {"1 run time", {wait_share(1), 2, 0}},
        {"1 skipped offer", {run_where_free, 2, 1}},
        {"3 skipped offers", {run_where_free, 2, 3}},
        {"positive gain", {decide_locality, 2, 0}}};
    const auto print = [](const char* name, const replay_result& r)
    {
        const auto& c = r.counts;
        const auto value =
            (r.rack.value + r.others.value) / (r.rack.jobs + r.others.jobs);
        std::printf("| %s | %.4f | %.4f | %.4f | %llu | %llu | %llu | %llu | "
                    "%llu |\n",
                    name, r.rack.on_time_share(), r.others.on_time_share(),
                    value, (unsigned long long)c.locality_elsewhere,
                    (unsigned long long)c.locality_waits,
                    (unsigned long long)c.locality_waits_given_up,
                    (unsigned long long)c.locality_granted_ms,
                    (unsigned long long)c.locality_waited_ms);
    };
    for (const auto& it : replay_loads)
    {
        std::printf("%s\n", it.name);
        for (const auto& [name, policy] : policies)
        {
            print(name, replay(it.load, policy));
        }
    }
    for (const auto& [which, factor] :
         {std::pair(0, 1.2), {0, 1.5}, {0, 3.0}, {1, 1.2}, {1, 3.0}})
    {
        std::printf("%s, factor configured as 2, really %.1f\n",
                    replay_loads[which].name, factor);
        auto load = replay_loads[which].load;
        load.true_factor = factor;
        print("configured", replay(load, {decide_locality, 2, 0}));
        print("known", replay(load, {decide_locality, factor, 0}));
    }
}
