#include <agatebank/fleet/placement.hpp>

#include <catch2/catch.hpp>

#include <cmath>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point now{1h};

target_profile make_profile(const char* kind, int64_t cpu = 16000)
{
    target_profile p;
    p.target = kind;
    p.service = service_name("desk");
    p.capacity = {cpu, 65536, 0};
    p.kind = kind;
    p.labels = {kind, std::string("rack-") + kind};
    return p;
}

target_load make_load(int64_t used)
{
    target_load l;
    l.accepts_work = true;
    l.used.cpu_millis = used;
    l.mean_run_us = 100'000;
    return l;
}

// Agent 1 has speed 1.5, agent 2 has speed 0.5.
double speed_of(agent_incarnation agent)
{
    return agent.value() == 1 ? 1.5 : 0.5;
}

struct two_targets
{
    target_map targets;
    step_plan step;

    two_targets(target_load fast, target_load slow)
    {
        target_load_tracker a(make_profile("fast"));
        a.set_load(fast);
        target_load_tracker b(make_profile("slow"));
        b.set_load(slow);
        targets.emplace(agent_incarnation(1), a);
        targets.emplace(agent_incarnation(2), b);
        step.task_resources = {1600, 64, 0};
    }

    uint64_t choose(duration mean, duration left,
                    const std::set<agent_incarnation>* excluded = nullptr,
                    double stretch = 0) const
    {
        placement_request rq;
        rq.service = service_name("desk");
        rq.step = &step;
        rq.expected = {mean, mean, mean};
        rq.time_to_objective = left;
        rq.stretch = stretch;
        rq.excluded = excluded;
        rq.remote_data_factor = 2;
        const auto c = choose_target(targets, rq, speed_of, now);
        return c ? c->agent.value() : 0;
    }
};

} // namespace

TEST_CASE("placement: leaves the fast target to long tasks")
{
    const two_targets idle(make_load(0), make_load(0));
    CHECK(idle.choose(60ms, 300ms) == 2); // up to 155 ms on the slow one
    CHECK(idle.choose(60ms, 150ms) == 1); // too late on the slow one
    CHECK(idle.choose(900ms, 1500ms) == 1);
    CHECK(idle.choose(900ms, 10ms) == 1); // late on both: earliest end
}

// Replays the calm day of the large site: most late jobs had run on slow
// targets that were expected to end just in time, while fast targets were free.
TEST_CASE("placement: a target that ends just in time is chosen only while the "
          "others are crowded")
{
    struct row
    {
        const char* name;
        duration left;
        int64_t used_on_fast;
        uint64_t chosen;
    };
    // 200 ms of work take 400 ms on the slow target, and 25 ms around it.
    const row rows[] = {
        {"in time by a quarter of the run time", 530ms, 0, 2},
        {"just in time", 450ms, 0, 1},
        {"just in time, the fast one is crowded", 450ms, 12000, 2},
        {"late on the slow one, the fast one is crowded", 410ms, 12000, 1}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        const two_targets t(make_load(it.used_on_fast), make_load(0));
        CHECK(t.choose(200ms, it.left, nullptr, 2) == it.chosen);
    }
}

TEST_CASE("placement: chosen target is in time for less and for more work")
{
    struct row
    {
        const char* name;
        duration work, wait_on_slow;
        double stretch;
        uint64_t chosen;
    };
    const row rows[] = {
        {"in time on the slow one", 60ms, 0ms, 1.6, 2},
        {"more work would be late on the slow one", 75ms, 0ms, 1.6, 1},
        {"short wait on the slow one", 100ms, 60ms, 2.5, 2},
        {"less work would be late after the wait", 100ms, 75ms, 2.5, 1}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        auto slow = make_load(0);
        if (it.wait_on_slow.count() != 0)
        {
            // A full target frees its whole capacity once per mean run time.
            slow.used.cpu_millis = 16000;
            slow.queued_cpu_millis[0] = 14400;
            slow.mean_run_us = it.wait_on_slow.count();
        }
        // The fast target is crowded too, so the slow one is preferred as long
        // as it is in time.
        const two_targets t(make_load(12000), slow);
        const auto left =
            60ms + duration(static_cast<int64_t>(
                       static_cast<double>(it.work.count()) * it.stretch));
        CHECK(t.choose(it.work, left, nullptr, it.stretch) == it.chosen);
    }
}

TEST_CASE("placement: slowest task of a step matches expected normal maxima")
{
    CHECK(slowest_task_ratio(0) == 1);
    CHECK(slowest_task_ratio(1) == 1);
    // Expected maxima of standard normal variables (Teichroew, 1956), with a
    // standard deviation of 0.15.
    CHECK(slowest_task_ratio(2) ==
          Approx(std::exp(0.15 * 0.564)).epsilon(0.01));
    CHECK(slowest_task_ratio(8) ==
          Approx(std::exp(0.15 * 1.424)).epsilon(0.01));
    CHECK(slowest_task_ratio(32) ==
          Approx(std::exp(0.15 * 2.070)).epsilon(0.01));
}

TEST_CASE(
    "placement: prefers a target with free capacity to a crowded slow one")
{
    const two_targets t(make_load(1000), make_load(12000));
    CHECK(t.choose(60ms, 300ms) == 1);
    const two_targets both(make_load(13000), make_load(12000));
    CHECK(both.choose(60ms, 300ms) == 2);
}

TEST_CASE("placement: does not choose a target that may not run the task")
{
    auto closed = make_load(0);
    closed.accepts_work = false;
    CHECK(two_targets(make_load(0), closed).choose(60ms, 300ms) == 1);
    CHECK(two_targets(closed, closed).choose(60ms, 300ms) == 0);

    two_targets t(make_load(0), make_load(0));
    const std::set<agent_incarnation> excluded{agent_incarnation(2)};
    CHECK(t.choose(60ms, 300ms, &excluded) == 1);
    t.step.required_label = "fast";
    CHECK(t.choose(60ms, 300ms) == 1);
    t.step.required_label = "none";
    CHECK(t.choose(60ms, 300ms) == 0);
    t.step.required_label.clear();
    t.step.task_resources.cpu_millis = 17000;
    CHECK(t.choose(60ms, 300ms) == 0);
}

TEST_CASE("placement: treats a target outside the data's rack as slower")
{
    two_targets t(make_load(0), make_load(0));
    t.step.data_rack = "rack-fast";
    CHECK(t.choose(60ms, 300ms) == 1);
    t.step.data_rack = "rack-slow";
    CHECK(t.choose(60ms, 300ms) == 2);
}

TEST_CASE("placement: sends a suspect target one task per probe period")
{
    auto suspect = make_load(0);
    suspect.suspect = true;
    two_targets t(make_load(0), suspect);
    CHECK(t.choose(60ms, 300ms) == 2);
    t.targets.at(agent_incarnation(2)).set_next_probe(now + 1ms);
    CHECK(t.choose(60ms, 300ms) == 1);
}

TEST_CASE("target_load_tracker: counts orders not yet covered by a load report")
{
    target_load_tracker t(make_profile("fast", 3000));
    t.set_load(make_load(0));
    const resources task_resources{1600, 64, 0};
    t.add_order(order_id(1), task_resources, 0);
    t.add_order(order_id(2), task_resources, 0);
    CHECK(t.expected_wait(task_resources, 0) ==
          60ms); // 1800 of 3000 at 100 ms a run
    auto report = make_load(1600);
    report.last_order_received = 1;
    t.set_load(report);
    CHECK(t.expected_wait(task_resources, 0) == 60ms);
    t.remove_order(order_id(2));
    CHECK(t.expected_wait(task_resources, 0) == 6666us);
    report.queued_cpu_millis = {0, 3000, 0, 0};
    t.set_load(report);
    CHECK(t.expected_wait(task_resources, 0) ==
          6666us); // lower bands queue behind it
    CHECK(t.expected_wait(task_resources, 1) > 100ms);
}
