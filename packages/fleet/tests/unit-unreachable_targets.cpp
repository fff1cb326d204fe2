#include <agatebank/fleet/job_scheduler.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

// Jobs whose targets can't be reached, while their runs may go on there.

namespace
{

constexpr time_point start{1h};

struct sent_order
{
    agent_incarnation agent;
    run_order order;
};

// An entry with two targets.
struct entry_fixture
{
    entry_fixture()
    {
        for (uint64_t i = 1; i <= 2; ++i)
        {
            target_profile p;
            p.target = "t" + std::to_string(i);
            p.service = service_name("desk");
            p.capacity = {16000, 65536, 0};
            p.kind = "k";
            scheduler.put_target(agent_incarnation(i), p, now);
            target_load l;
            l.accepts_work = true;
            scheduler.set_load(agent_incarnation(i), l, now);
        }
    }

    std::vector<sent_order> sent;
    std::optional<job_outcome> answer;
    time_point now = start;
    job_scheduler scheduler{{1300ms, 1, start, {}}, hooks()};

    job_scheduler_hooks hooks()
    {
        return {[this](agent_incarnation a, const run_batch& b)
                {
                    for (const auto& it : b.orders)
                    {
                        sent.push_back({a, it});
                    }
                },
                [](agent_incarnation, const std::vector<order_id>&) {},
                [this](job_key, const job_outcome& o) { answer = o; },
                [](const log_record&) {
                }};
    }

    void admit(duration run_time, duration deadline)
    {
        job_submission a;
        a.id = "job";
        a.matched_route.name = route_name("r");
        a.matched_route.service = service_name("desk");
        a.matched_route.max_attempts = 2;
        a.matched_route.stretch = 1.6;
        a.matched_route.added_latency = 60ms;
        step_plan s;
        s.tasks = 1;
        s.task_resources = {1000, 10, 0};
        s.declared_run_time = run_time;
        a.plan.steps = {s};
        a.deadline = deadline;
        scheduler.admit(job_key(1), std::move(a), now);
    }

    // Loses the target of the last order.
    void lose(duration may_run)
    {
        const auto it = sent.back();
        order_result end{it.order.id, run_outcome::target_lost};
        end.may_run_us = may_run.count();
        scheduler.on_end(it.agent, end, now);
    }

    void pass(duration time)
    {
        now += time;
        scheduler.tick(now);
    }
};

} // namespace

// Guards against two runs of one task: its target is cut off, refuses
// connections and runs on.
TEST_CASE("unreachable target: a task is ordered elsewhere only when its run "
          "has ended")
{
    for (const auto may_run : {0ms, 300ms, 1100ms})
    {
        INFO("may run for " << may_run.count() << " ms");
        entry_fixture f;
        f.admit(500ms, 3s);
        REQUIRE(f.sent.size() == 1);
        f.pass(100ms);
        f.lose(may_run);
        CHECK(f.sent.size() == (may_run.count() == 0 ? 2 : 1));
        if (may_run.count() != 0)
        {
            f.pass(may_run - 1ms);
            CHECK(f.sent.size() == 1);
            f.pass(1ms);
        }
        REQUIRE(f.sent.size() == 2);
        CHECK(f.sent[0].agent != f.sent[1].agent);
        CHECK(f.sent[1].order.attempt == 2);
        CHECK_FALSE(f.answer);
    }
}

// Guards against callers that wait until their deadline for a job that can't be
// served any more.
TEST_CASE("unreachable target: a job is answered at once if another run would "
          "end too late")
{
    struct row
    {
        const char* name;
        duration run_time;
        duration deadline;
        duration may_run;
        bool answered;
    };
    const row rows[] = {
        {"useful after the wait", 500ms, 3s, 1s, false},
        {"no wait", 60ms, 1500ms, 0ms, false},
        {"useless after the wait", 60ms, 1500ms, 1s, true},
        {"past the deadline after the wait", 900ms, 1500ms, 1100ms, true},
    };
    for (const auto& it : rows)
    {
        INFO(it.name);
        entry_fixture f;
        f.admit(it.run_time, it.deadline);
        f.pass(10ms);
        f.lose(it.may_run);
        REQUIRE(f.answer.has_value() == it.answered);
        CHECK(f.scheduler.counts().lost_too_late == (it.answered ? 1 : 0));
        if (it.answered)
        {
            // Its run may go on, so it must not count as not run.
            CHECK(f.answer->result == job_result::abandoned);
        }
    }
}

// Guards against a second run of a task whose job was answered while its first
// run may go on, and is submitted again.
TEST_CASE("unreachable target: a job that is submitted again waits for the "
          "runs of the first submission")
{
    entry_fixture f;
    f.admit(900ms, 1500ms);
    f.pass(100ms);
    f.lose(1s);
    REQUIRE(f.answer);
    f.answer.reset();
    f.admit(900ms, 4s);
    CHECK(f.sent.size() == 1);
    f.pass(999ms);
    CHECK(f.sent.size() == 1);
    f.pass(1ms);
    CHECK(f.sent.size() == 2);
}
