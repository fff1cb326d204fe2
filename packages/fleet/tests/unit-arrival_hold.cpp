#include <agatebank/fleet/arrival_hold.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

// Guards against refusing callers that are back before the targets, and against
// holding jobs that wait in vain or in an entry that knows all targets.
TEST_CASE("arrival_hold: holds a job only while waiting can improve its end")
{
    struct row
    {
        const char* what;
        duration since_start;
        duration window;
        std::optional<duration> since_discovery;
        bool servable;
        duration expected;
        duration shortest;
        arrival_action action;
    };
    // All jobs have an objective of 160 ms and are useful until 480 ms.
    const auto rows = {
        row{"no target yet",
            50ms,
            2s,
            {},
            false,
            0ms,
            60ms,
            arrival_action::hold},
        row{"no target yet, too late to be on time",
            50ms,
            2s,
            {},
            false,
            0ms,
            170ms,
            arrival_action::hold},
        row{"no target yet, too late to be useful",
            50ms,
            2s,
            {},
            false,
            0ms,
            480ms,
            arrival_action::refuse},
        row{"the first target is crowded", 300ms, 2s, 10ms, true, 300ms, 60ms,
            arrival_action::hold},
        row{"crowded, can no longer be on time", 300ms, 2s, 10ms, true, 300ms,
            160ms, arrival_action::hold},
        row{"crowded, and any later end is useless", 300ms, 2s, 10ms, true,
            470ms, 480ms, arrival_action::place},
        row{"late on a target that is not crowded", 300ms, 2s, 10ms, true,
            200ms, 180ms, arrival_action::place},
        row{"on time", 300ms, 2s, 10ms, true, 100ms, 60ms,
            arrival_action::place},
        row{"all targets are known", 1s, 2s, 400ms, true, 300ms, 60ms,
            arrival_action::place},
        row{"all targets are known, useless", 1s, 2s, 400ms, false, 900ms, 60ms,
            arrival_action::refuse},
        row{"no target announced itself in the window",
            2s,
            2s,
            {},
            false,
            0ms,
            60ms,
            arrival_action::refuse},
        row{"off", 0ms, 0ms, {}, false, 0ms, 60ms, arrival_action::refuse},
        row{"off, late", 0ms, 0ms, 10ms, true, 300ms, 60ms,
            arrival_action::place},
    };
    for (const auto& it : rows)
    {
        INFO(it.what);
        arrival_hold_input input;
        input.since_start = it.since_start;
        input.discovery_window = it.window;
        input.since_discovery = it.since_discovery;
        input.servable = it.servable;
        input.expected_finish = it.expected;
        input.shortest_finish = it.shortest;
        input.objective = 160ms;
        input.latest_useful = 480ms;
        CHECK(decide_arrival(input) == it.action);
    }
}

// Guards against holding jobs for a configuration that isn't expected, or for
// longer than their callers wait.
TEST_CASE("arrival_hold: holds a job while the configuration is expected")
{
    struct row
    {
        const char* what;
        duration since_start;
        duration window;
        std::optional<duration> deadline;
        duration hold;
    };
    const auto r =
        GENERATE(row{"just started", 20ms, 2s, 1500ms, 300ms},
                 row{"the caller tells no deadline", 20ms, 2s, {}, 300ms},
                 row{"the caller waits briefly", 20ms, 2s, 100ms, 50ms},
                 row{"late in the window", 850ms, 2s, 1500ms, 50ms},
                 row{"after the window", 901ms, 2s, 1500ms, 0ms},
                 row{"after a shorter discovery", 600ms, 500ms, 1500ms, 0ms},
                 row{"off", 0ms, 0ms, 1500ms, 0ms});
    INFO(r.what);
    CHECK(configuration_hold_time(r.since_start, r.window, r.deadline) ==
          r.hold);
}

// Replays the return of all VMs: callers are back at once, 100 jobs/s, while
// eight targets are discovered 300 to 440 ms after the start. Guards against
// refusing jobs whose answers can still be useful, and against placing all that
// waited on the first target.
TEST_CASE("arrival_hold: serves the callers that are back before the targets")
{
    struct row
    {
        const char* what;
        duration window;
        bool holds;
    };
    const auto r = GENERATE(row{"held", 2s, true}, row{"off", 0s, false});
    INFO(r.what);
    constexpr time_point start{1h};
    uint64_t refused = 0;
    std::map<uint64_t, std::size_t> orders;
    job_scheduler scheduler(
        {1100ms, 1, start, r.window},
        {[&](agent_incarnation a, const run_batch& b)
         { orders[a.value()] += b.orders.size(); },
         [](agent_incarnation, const std::vector<order_id>&) {},
         [&](job_key, const job_outcome& o)
         { refused += o.result == job_result::not_run ? 1 : 0; },
         [](const log_record&) {
         }});
    uint64_t jobs = 0;
    for (auto now = start; now < start + 600ms; now += 10ms)
    {
        const auto age = now - start;
        if (age >= 300ms && age <= 440ms && age.count() % 20'000 == 0)
        {
            const agent_incarnation agent(static_cast<uint64_t>(age.count()));
            target_profile p;
            p.target = std::to_string(age.count());
            p.service = service_name("desk");
            p.capacity = {64000, 65536, 0};
            scheduler.put_target(agent, p, now);
            target_load l;
            l.accepts_work = true;
            scheduler.set_load(agent, l, now);
        }
        job_submission s;
        s.id = "job" + std::to_string(++jobs);
        s.matched_route.name = route_name("r");
        s.matched_route.service = service_name("desk");
        s.matched_route.stretch = 1.6;
        s.matched_route.added_latency = 60ms;
        step_plan step;
        step.tasks = 2;
        step.task_resources = {4900, 10, 0};
        step.declared_run_time = 170ms;
        s.plan.steps = {step};
        s.deadline = 1500ms;
        scheduler.admit(job_key(jobs), std::move(s), now);
        if (age.count() % 40'000 == 0)
        {
            scheduler.tick(now);
        }
    }
    CHECK((refused == 0) == r.holds);
    CHECK((scheduler.counts().held != 0) == r.holds);
    CHECK(scheduler.held_jobs() == 0);
    if (r.holds)
    {
        CHECK(orders.size() == 8);
        CHECK(orders.begin()->second < jobs);
    }
}
