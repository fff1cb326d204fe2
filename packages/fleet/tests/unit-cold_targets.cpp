#include <agatebank/fleet/job_forecast.hpp>
#include <agatebank/fleet/placement.hpp>
#include <agatebank/fleet/run_scheduler.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
const order_source entry(1);

// Runs orders one after the other on a target that is cold for a given time.
struct agent_fixture
{
    std::vector<run_id> started;
    std::vector<run_id> stopped;
    std::vector<order_result> ends;
    time_point now = start;
    uint64_t last_order = 0;
    run_scheduler scheduler{
        {[this](const run_id& id, const std::string&)
         { started.push_back(id); },
         [this](const run_id& id) { stopped.push_back(id); },
         [this](order_source, const order_result& r) { ends.push_back(r); },
         [](const std::vector<lost_run>&) {},
         [](const log_record&) {
         }}};

    explicit agent_fixture(duration cold)
    {
        scheduler.set_capacity({2000, 1000, 0}, now);
        scheduler.set_accepting_orders(true, now);
        scheduler.set_cold_until(now + cold);
    }

    void run(duration expected, duration measured)
    {
        run_batch b;
        b.job = "job" + std::to_string(++last_order);
        b.route = "r";
        b.task_resources = {1000, 10, 0};
        b.objective_us = b.useful_until_us = b.deadline_us =
            duration(5s).count();
        run_order o;
        o.id = order_id(last_order);
        o.expected_us = o.reference_us = expected.count();
        b.orders = {o};
        scheduler.on_batch(entry, b, now);
        scheduler.on_start_answer(started.back(), start_answer::accepted, now);
        now += measured;
        lease_answer a;
        a.ended = {
            {end_position(last_order), started.back(), ended_run_status::done}};
        scheduler.on_listing(a, now, now);
    }
};

} // namespace

// Guards against a speed that is learned from the runs of a cold target: it
// would keep work away after the target is warm.
TEST_CASE("cold targets: runs that started on a cold target teach no speed")
{
    struct row
    {
        const char* what;
        duration cold;
        double speed; ///< 0: not learned
        bool reported_cold;
    };
    const row rows[] = {{"warm", 0ms, 0.5, false},
                        {"cold for all runs", 1h, 0, true},
                        {"cold for the first 20 runs", 2s, 0.5, false}};
    for (const auto& it : rows)
    {
        INFO(it.what);
        agent_fixture f(it.cold);
        for (int i = 0; i < 20; ++i)
        {
            f.run(50ms, 100ms);
        }
        if (it.cold == 2s)
        {
            CHECK(f.ends.back().cold);
            CHECK(f.scheduler.load(f.now).speed == 0);
            CHECK(f.scheduler.load(f.now).slowdown == 1);
            for (int i = 0; i < 20; ++i)
            {
                f.run(50ms, 100ms);
            }
        }
        const auto load = f.scheduler.load(f.now);
        CHECK(load.speed == Approx(it.speed).margin(0.01));
        CHECK(load.cold == it.reported_cold);
        CHECK(f.ends.back().cold == it.reported_cold);
        // Compared with the learned speed, the warm target is not slowed.
        CHECK((load.slowdown > 1) == it.reported_cold);
    }
}

// Guards against stopping the runs of a cold target as stalled, which would
// make a suspect of it.
TEST_CASE("cold targets: a run that is slow since its target is cold is not "
          "stopped as stalled")
{
    for (const bool cold : {true, false})
    {
        INFO("cold: " << cold);
        agent_fixture f(cold ? duration(1h) : duration(0));
        run_batch b;
        b.job = "job";
        b.task_resources = {1000, 10, 0};
        b.objective_us = b.useful_until_us = b.deadline_us =
            duration(9s).count();
        run_order o;
        o.id = order_id(1);
        o.expected_us = duration(400ms).count();
        b.orders = {o};
        f.scheduler.on_batch(entry, b, f.now);
        f.scheduler.on_start_answer(f.started[0], start_answer::accepted,
                                    f.now);
        f.now += 750ms;
        lease_answer a;
        a.running = {{f.started[0], 45}};
        f.scheduler.on_listing(a, f.now, f.now);
        CHECK(f.stopped.empty() == cold);
    }
}

// Guards against preferring a cold target because it looks like a slow one, and
// against leaving it idle while the warm ones are crowded.
TEST_CASE("cold targets: get work after the warm ones that are as crowded")
{
    struct row
    {
        const char* what;
        bool first_cold;
        int64_t first_used;
        bool second_cold;
        int64_t second_used;
        uint64_t chosen;
    };
    const row rows[] = {
        {"both warm, less used first", false, 2000, false, 1000, 2},
        {"first cold", true, 0, false, 1000, 2},
        {"second cold", false, 1000, true, 0, 1},
        {"first cold, second crowded", true, 0, false, 9000, 1},
        {"both cold, less used first", true, 2000, true, 1000, 2},
        {"both cold, first crowded", true, 9000, true, 1000, 2},
        {"both crowded, first cold", true, 8000, false, 9000, 2}};
    for (const auto& it : rows)
    {
        INFO(it.what);
        target_map targets;
        const auto add = [&targets](uint64_t agent, bool cold, int64_t used)
        {
            target_profile p;
            p.service = service_name("desk");
            p.capacity = {10000, 1000, 0};
            auto& t =
                targets.emplace(agent_incarnation(agent), p).first->second;
            target_load l;
            l.accepts_work = true;
            l.cold = cold;
            l.slowdown = cold ? 2 : 1;
            l.used.cpu_millis = used;
            l.mean_run_us = duration(60ms).count();
            t.set_load(l);
        };
        add(1, it.first_cold, it.first_used);
        add(2, it.second_cold, it.second_used);
        step_plan step;
        step.task_resources = {1000, 10, 0};
        placement_request request;
        request.service = service_name("desk");
        request.step = &step;
        request.expected = {60ms, 60ms, 60ms};
        request.time_to_objective = 250ms;
        request.stretch = 1.6;
        const auto choice = choose_target(
            targets, request, [](agent_incarnation) { return 1.0; }, start);
        REQUIRE(choice);
        CHECK(choice->agent == agent_incarnation(it.chosen));
    }
}
