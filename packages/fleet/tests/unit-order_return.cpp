#include "overload_replay.hpp"
#include <agatebank/fleet/job_scheduler.hpp>
#include <agatebank/fleet/order_return.hpp>
#include <agatebank/fleet/run_scheduler.hpp>
#include <agatebank/fleet/start_estimator.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

// Guards against returns that gain nothing: of an order that is late by less
// than a move takes, or that would be late anywhere.
TEST_CASE("order_return: decides by the expected end")
{
    struct row
    {
        const char* name;
        queued_order_input input; // wait, run, objective, useful, deadline
        order_return_options options;
        order_fate fate;
    };
    const row rows[] = {
        {"on time", {90ms, 60ms, 160ms, 480ms, 2s}, {}, order_fate::wait},
        {"late by less than a move",
         {120ms, 60ms, 160ms, 480ms, 2s},
         {},
         order_fate::wait},
        {"late", {200ms, 60ms, 160ms, 480ms, 2s}, {}, order_fate::return_late},
        {"late, marked to be kept",
         {200ms, 60ms, 160ms, 480ms, 2s, true},
         {},
         order_fate::wait},
        {"late anywhere", {200ms, 60ms, 70ms, 480ms, 2s}, {}, order_fate::wait},
        {"late, early returns off",
         {200ms, 60ms, 160ms, 480ms, 2s},
         {false, true},
         order_fate::wait},
        {"useless, marked to be kept",
         {430ms, 60ms, 160ms, 480ms, 2s, true},
         {},
         order_fate::drop_useless},
        {"useless, drops off",
         {430ms, 60ms, 70ms, 480ms, 2s},
         {true, false},
         order_fate::wait},
        {"past its deadline, returns off",
         {430ms, 60ms, 160ms, 600ms, 490ms},
         {false, false},
         order_fate::past_deadline}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        CHECK(decide_queued_order(it.input, it.options) == it.fate);
    }
}

// Guards against a wait estimate that spreads the work ahead over the whole
// capacity: an order then seems to wait for long behind runs that are about to
// end, and to start at once where no part of the target is large enough.
TEST_CASE("start_estimator: starts orders in rank when the next one fits")
{
    start_estimator starts({8000, 1000, 0});
    starts.add_started({{3600, 10, 0}, 100ms});
    starts.add_started({{3600, 10, 0}, 900ms});
    const queued_work small{{800, 10, 0}, 60ms};
    const queued_work large{{3600, 10, 0}, 60ms};
    const queued_work isolated{{800, 10, 0}, 60ms, true};
    CHECK(starts.start_of(small) == 0ms);
    CHECK(starts.start_of(large) == 100ms);
    CHECK(starts.start_of(isolated) == 900ms);
    starts.add(large);
    CHECK(starts.start_of(small) == 100ms);
    starts.add(large);
    CHECK(starts.start_of(large) == 220ms);
    CHECK(start_estimator({2000, 10, 0}).start_of(large) == 0ms);
}

// Guards against short tasks that wait behind long ones although other targets
// are free, and against tasks that wander from target to target.
TEST_CASE("order_return: an agent returns each task at most once")
{
    std::vector<run_id> started;
    std::vector<order_result> ends;
    const auto now = time_point(1h);
    run_scheduler agent(
        {[&](const run_id& id, const std::string&) { started.push_back(id); },
         [](const run_id&) {},
         [&](order_source, const order_result& end) { ends.push_back(end); },
         [](const std::vector<lost_run>&) {},
         [](const log_record&) {
         }});
    agent.set_capacity({4000, 1000, 0}, now);
    agent.set_accepting_orders(true, now);
    const auto send = [&](uint64_t id, duration expected, bool keep)
    {
        run_batch b;
        b.job = "job" + std::to_string(id);
        b.task_resources = {4000, 10, 0};
        b.objective_us = duration(2 * expected + 60ms).count();
        b.useful_until_us = duration(20 * expected).count();
        b.deadline_us = duration(5s).count();
        run_order o;
        o.id = order_id(id);
        o.expected_us = expected.count();
        o.keep = keep;
        b.orders = {o};
        agent.on_batch(order_source(1), b, now);
    };
    send(1, 900ms, false);
    REQUIRE(started.size() == 1);
    send(2, 60ms, false);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].outcome == run_outcome::returned);
    CHECK(duration(ends[0].expected_wait_us) == 900ms);
    CHECK(agent.counts().returned_early == 1);
    send(3, 60ms, true);
    CHECK(ends.size() == 1);
    CHECK(agent.queued() == 1);
}

// Guards against a returned task that is returned again, whose agent is
// excluded for good, or whose return ends a job that could still be served.
TEST_CASE("order_return: an entry keeps the order of a task that was returned")
{
    struct row
    {
        const char* name;
        int targets;
        duration wait; ///< at the agent that returned the task
        uint64_t expected_agent;
    };
    const row rows[] = {{"another target is free", 2, 400ms, 2},
                        {"no other target", 1, 400ms, 1}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        std::vector<std::pair<agent_incarnation, run_order>> sent;
        std::vector<job_outcome> answers;
        job_scheduler entry(
            {1100ms, 1, {}, {}},
            {[&](agent_incarnation a, const run_batch& b)
             { sent.emplace_back(a, b.orders.at(0)); },
             [](agent_incarnation, const std::vector<order_id>&) {},
             [&](job_key, const job_outcome& o) { answers.push_back(o); },
             [](const log_record&) {
             }});
        const time_point now(1h);
        target_load load;
        load.accepts_work = true;
        for (int i = 1; i <= it.targets; ++i)
        {
            target_profile p;
            p.target = std::to_string(i);
            p.service = service_name("desk");
            p.capacity = {16000, 1000, 0};
            entry.put_target(agent_incarnation(i), p, now);
            load.used.cpu_millis = 1000 * (i - 1); // prefers the first target
            entry.set_load(agent_incarnation(i), load, now);
        }
        job_submission s;
        s.id = "job";
        s.matched_route.service = service_name("desk");
        s.matched_route.max_attempts = 1;
        s.matched_route.stretch = 1.6;
        s.matched_route.added_latency = 60ms;
        step_plan step;
        step.tasks = 1;
        step.task_resources = {1000, 10, 0};
        step.declared_run_time = 60ms;
        s.plan.steps = {step};
        s.deadline = 2s;
        entry.admit(job_key(1), std::move(s), now);
        REQUIRE(sent.size() == 1);
        REQUIRE(sent[0].first == agent_incarnation(1));
        CHECK_FALSE(sent[0].second.keep);
        entry.on_end(
            agent_incarnation(1),
            {sent[0].second.id, run_outcome::returned, 0, 0, it.wait.count()},
            now);
        REQUIRE(sent.size() == 2);
        CHECK(answers.empty());
        CHECK(sent[1].first == agent_incarnation(it.expected_agent));
        CHECK(sent[1].second.keep);
        // The first agent may be used again.
        entry.remove_target(agent_incarnation(2), now);
        entry.tick(now + 1200ms);
        CHECK(sent.back().first == agent_incarnation(1));
        CHECK(sent.back().second.keep);
        CHECK(entry.counts().returned_early == 1);
    }
}

// Guards against a job that keeps its caller waiting although no target can end
// it usefully any more, and against "not run" of a job that has run.
TEST_CASE("order_return: a job ends at once when no target can end it usefully")
{
    for (const bool has_run : {false, true})
    {
        INFO("has run: " << has_run);
        std::vector<run_order> sent;
        std::vector<job_outcome> answers;
        job_scheduler entry(
            {1100ms, 1, {}, {}},
            {[&](agent_incarnation, const run_batch& b)
             { sent.insert(sent.end(), b.orders.begin(), b.orders.end()); },
             [](agent_incarnation, const std::vector<order_id>&) {},
             [&](job_key, const job_outcome& o) { answers.push_back(o); },
             [](const log_record&) {
             }});
        time_point now(1h);
        target_profile p;
        p.target = "1";
        p.service = service_name("desk");
        p.capacity = {16000, 1000, 0};
        entry.put_target(agent_incarnation(1), p, now);
        target_load load;
        load.accepts_work = true;
        entry.set_load(agent_incarnation(1), load, now);
        job_submission s;
        s.id = "job";
        s.matched_route.service = service_name("desk");
        s.matched_route.stretch = 1.6;
        step_plan step;
        step.tasks = has_run ? 2 : 1;
        step.task_resources = {1000, 10, 0};
        step.declared_run_time = 60ms;
        s.plan.steps = {step};
        s.deadline = 2s;
        entry.admit(job_key(1), std::move(s), now);
        now += 400ms; // useful for three times 96 ms, or a little more
        if (has_run)
        {
            entry.on_end(agent_incarnation(1),
                         {sent[1].id, run_outcome::done, 60'000, 0, 0}, now);
        }
        entry.on_end(agent_incarnation(1),
                     {sent[0].id, run_outcome::past_deadline, 0, 0, 0}, now);
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].result ==
              (has_run ? job_result::abandoned : job_result::not_run));
        CHECK(answers[0].retry_after.count() > 0);
    }
}

// Guards against short tasks that are late behind long ones, because several
// entries sent both to targets that were free in the last load report.
TEST_CASE("order_return: short tasks that meet long ones at a target move to "
          "others")
{
    replay_result results[2];
    for (const bool on : {false, true})
    {
        replay_options options;
        options.targets = 9;
        options.returns = {on, on};
        options.shed_load = false;
        options.report_period = 100ms;
        options.kinds = {replay_kind{"short", 8, 60ms, 50},
                         replay_kind{"long", 4, 900ms, 11}};
        results[on] = replay_days(options, 4);
        INFO(results[on].text());
        CHECK(results[on].never_twice());
        CHECK(results[on].max_returns_of_task <= 1);
    }
    INFO("off: " << results[0].text() << "\non: " << results[1].text());
    CHECK(results[1].moved > 0);
    // Callers get no less of any kind, and more of the short ones.
    CHECK(results[1].kinds.at("short").value_share() >=
          results[0].kinds.at("short").value_share());
    CHECK(results[1].kinds.at("long").value_share() >=
          results[0].kinds.at("long").value_share() - 0.02);
}
