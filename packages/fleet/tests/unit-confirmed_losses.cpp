#include <agatebank/core/crash_history.hpp>
#include <agatebank/fleet/run_scheduler.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

// Guards against a job that is failed since its targets were cut off, and
// against one that crashes its targets and is never failed.
TEST_CASE("confirmed loss: a target that refuses connections has crashed once "
          "another incarnation answers")
{
    struct row
    {
        const char* name;
        bool started;
        bool restarts; ///< else the same incarnation answers again
        std::size_t confirmed;
    };
    const row rows[] = {{"restarted", true, true, 1},
                        {"cut off", true, false, 0},
                        {"restarted, start not answered", false, true, 0}};
    const time_point now{1h};
    for (const auto& it : rows)
    {
        INFO(it.name);
        std::vector<run_id> started;
        crash_history history;
        run_scheduler scheduler(
            {[&](const run_id& n, const std::string&) { started.push_back(n); },
             [](const run_id&) {}, [](order_source, const order_result&) {},
             [&](const std::vector<lost_run>& lost)
             {
                 for (const auto& run : lost)
                 {
                     history.merge({{run.task,
                                     run.route,
                                     service_name("desk"),
                                     {agent_incarnation(1), run.loss},
                                     run.isolated,
                                     run.confirmed}},
                                   now);
                 }
             },
             [](const log_record&) {
             }});
        scheduler.set_capacity({1000, 10, 0}, now);
        scheduler.set_accepting_orders(true, now);
        run_batch b;
        b.job = "a";
        b.route = "r";
        b.task_resources = {1000, 10, 0};
        b.deadline_us = duration(2s).count();
        b.useful_until_us = b.deadline_us;
        b.orders.resize(1);
        scheduler.on_batch(order_source(1), b, now);
        REQUIRE(started.size() == 1);
        if (it.started)
        {
            scheduler.on_start_answer(started[0], start_answer::accepted, now);
        }
        scheduler.on_target_unreachable(1s, now);
        const task_position task{"a", 0, 0};
        CHECK(history.losses(task) == 1);
        CHECK(history.confirmed_crashes(task) == 0);
        if (it.restarts)
        {
            scheduler.on_new_incarnation({}, now);
        }
        scheduler.on_listing({}, now, now);
        scheduler.on_new_incarnation({}, now);
        CHECK(history.losses(task) == 1);
        CHECK(history.confirmed_crashes(task) == it.confirmed);
    }
}
