#include <agatebank/fleet/job_scheduler.hpp>
#include <agatebank/fleet/run_scheduler.hpp>
#include <agatebank/fleet/start_estimator.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

// An agent whose target runs two tasks at a time.
struct agent_fixture
{
    std::vector<run_id> started;
    std::map<uint64_t, run_outcome> ends;
    time_point now = start;
    run_scheduler scheduler{{[this](const run_id& id, const std::string&)
                             { started.push_back(id); },
                             [](const run_id&) {},
                             [this](order_source, const order_result& e)
                             { ends[e.id.value()] = e.outcome; },
                             [](const std::vector<lost_run>&) {},
                             [](const log_record&) {
                             }}};

    agent_fixture()
    {
        scheduler.set_capacity({2000, 1000, 0}, now);
        scheduler.set_accepting_orders(true, now);
    }

    void order(uint64_t id, duration max_wait = {}, duration objective = 200ms)
    {
        run_batch b;
        b.job = "j" + std::to_string(id);
        b.task_resources = {1000, 10, 0};
        b.objective_us = objective.count();
        b.useful_until_us = duration(600ms).count();
        b.deadline_us = duration(2s).count();
        run_order o;
        o.id = order_id(id);
        o.expected_us = duration(60ms).count();
        o.keep = max_wait.count() > 0;
        o.max_wait_us = max_wait.count();
        b.orders = {o};
        scheduler.on_batch(order_source(1), b, now);
    }

    void tick(duration later)
    {
        now += later;
        scheduler.tick(now);
    }

    void end(const run_id& id)
    {
        scheduler.on_start_answer(id, start_answer::accepted, now);
        lease_answer a;
        a.ended = {{end_position(1), id, ended_run_status::done}};
        scheduler.on_listing(a, now, now);
    }
};

// An entry with a target in each of two racks.
struct entry_fixture
{
    std::vector<std::pair<agent_incarnation, run_order>> sent;
    std::vector<std::string> lines;
    time_point now = start;
    job_scheduler scheduler{
        {1100ms, 2, {}, {}, true, decide_locality},
        {[this](agent_incarnation a, const run_batch& b)
         { sent.emplace_back(a, b.orders.front()); },
         [](agent_incarnation, const std::vector<order_id>&) {},
         [](job_key, const job_outcome&) {},
         [this](const log_record& r)
         {
             lines.push_back(r.text);
         }}};

    // The target in the rack of the data is taken for some 20 ms.
    entry_fixture()
    {
        for (const uint64_t agent : {1, 2})
        {
            target_profile p;
            p.target = "t" + std::to_string(agent);
            p.capacity = {16000, 65536, 0};
            p.labels = {"rack" + std::to_string(agent)};
            scheduler.put_target(agent_incarnation(agent), p, now);
            target_load l;
            l.accepts_work = true;
            l.used.cpu_millis = agent == 1 ? 16000 : 0;
            l.mean_run_us = 320'000;
            scheduler.set_load(agent_incarnation(agent), l, now);
        }
        job_submission s;
        s.id = "j1";
        s.matched_route.max_attempts = 2;
        s.matched_route.stretch = 1.6;
        s.matched_route.added_latency = 60ms;
        step_plan step;
        step.task_resources = {1000, 10, 0};
        step.declared_run_time = 100ms;
        step.data_rack = "rack1";
        s.plan.steps = {step};
        s.deadline = 2s;
        scheduler.admit(job_key(1), s, now);
    }

    bool has_line(const std::string& text) const
    {
        return std::any_of(lines.begin(), lines.end(),
                           [&](const std::string& it)
                           { return it.find(text) != std::string::npos; });
    }
};

} // namespace

// Guards against a task that waits on for a place that becomes available later
// than expected, while it could still run elsewhere.
TEST_CASE("waiting_orders: returned once the start is expected too late")
{
    struct row
    {
        const char* what;
        std::function<void(agent_fixture&)> change;
        bool returned;
    };
    const row rows[] = {
        {"as expected", [](agent_fixture& f) { f.tick(20ms); }, false},
        {"runs take longer than expected",
         [](agent_fixture& f) { f.tick(81ms); }, true},
        {"more work ahead",
         [](agent_fixture& f)
         {
             f.order(5);
             f.order(6);
             f.tick(20ms);
         },
         true},
        {"capacity shrinks",
         [](agent_fixture& f) {
             f.scheduler.set_capacity({1000, 1000, 0}, f.now);
         },
         true},
        {"capacity shrinks below the task",
         [](agent_fixture& f) {
             f.scheduler.set_capacity({500, 1000, 0}, f.now);
         },
         true},
        {"the target drains, or is evacuated",
         [](agent_fixture& f)
         { f.scheduler.set_accepting_orders(false, f.now); },
         true}};
    for (const auto& it : rows)
    {
        INFO(it.what);
        agent_fixture f;
        f.order(1);
        f.order(2);
        f.order(3);
        f.order(4, 80ms); // expected to start after 60 ms
        f.tick(1ms);
        CHECK(f.ends.count(4) == 0);
        it.change(f);
        REQUIRE((f.ends.count(4) == 1) == it.returned);
        if (it.returned)
        {
            CHECK(f.ends[4] == run_outcome::not_run);
        }
    }
}

// Guards against a slowed target on which a waiting task would end later than
// elsewhere although it starts in time.
TEST_CASE("waiting_orders: returned when the target turns slow")
{
    agent_fixture f;
    for (uint64_t i = 10; i < 40; ++i)
    {
        f.order(i);
        f.now += 180ms; // three times as long as expected
        f.end(f.started.back());
    }
    REQUIRE(f.scheduler.load(f.now).slowdown > 2);
    f.order(1);
    f.order(2);
    f.order(4, 80ms);
    f.tick(1ms);
    CHECK(f.ends.count(4) == 1);
}

// Guards against waiting orders that delay orders which do not wait near their
// data, as they have less time to their objective.
TEST_CASE("waiting_orders: start behind all others")
{
    agent_fixture f;
    f.order(1);
    f.order(2);
    f.order(3, 90ms, 100ms);
    f.order(4, {}, 500ms);
    f.order(5, {}, 10ms); // late
    f.now += 60ms;
    for (const auto& it : {f.started[0], f.started[1]})
    {
        f.end(it);
    }
    REQUIRE(f.started.size() == 4);
    CHECK(f.started[2].task == "j4.0.0.0");
    CHECK(f.started[3].task == "j5.0.0.0");
    CHECK(f.scheduler.load(f.now).queued_cpu_millis[0] == 0);
}

// Guards against a second wait of a task, and against waits without a line in
// the log and a count.
TEST_CASE("waiting_orders: a wait that is given up leads elsewhere")
{
    entry_fixture f;
    REQUIRE(f.sent.size() == 1);
    CHECK(f.sent[0].first == agent_incarnation(1));
    CHECK(f.sent[0].second.keep);
    CHECK(f.sent[0].second.max_wait_us >= duration(20ms).count());
    f.now += 30ms;
    f.scheduler.on_end(
        agent_incarnation(1),
        {f.sent[0].second.id, run_outcome::not_run, 0, duration(30ms).count()},
        f.now);
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[1].first == agent_incarnation(2));
    CHECK_FALSE(f.sent[1].second.keep);
    CHECK(f.has_line("waited 30 ms near its data, then not_run"));
    CHECK(f.scheduler.counts().locality_waits == 1);
    CHECK(f.scheduler.counts().locality_waits_given_up == 1);
    CHECK(f.scheduler.counts().locality_waited_ms == 30);
    CHECK(f.scheduler.counts().locality_lost_ms == 30);
}

// Guards against tasks that overtake work which has not waited, as their wait
// has left them less time to their objective.
TEST_CASE("waiting_orders: beyond the capacity a task whose wait was given up "
          "starts behind others")
{
    for (const bool full : {false, true})
    {
        INFO("service beyond its capacity: " << full);
        entry_fixture f;
        REQUIRE(f.sent.size() == 1);
        if (full)
        {
            target_load l;
            l.accepts_work = true;
            l.used.cpu_millis = 16000;
            l.queued_cpu_millis[0] = 4000;
            l.mean_run_us = 60'000;
            f.scheduler.set_load(agent_incarnation(2), l, f.now);
        }
        f.scheduler.on_end(agent_incarnation(1),
                           {f.sent[0].second.id, run_outcome::not_run, 0, 1000},
                           f.now);
        REQUIRE(f.sent.size() == 2);
        const auto& order = f.sent[1].second;
        CHECK(order.keep == full);
        // An order that is kept longer than its job is no second wait.
        CHECK((order.max_wait_us > duration(2s).count()) == full);
        CHECK(f.scheduler.counts().locality_waits == 1);
    }
}

TEST_CASE("waiting_orders: a wait ends with its link or its job")
{
    entry_fixture lost;
    lost.scheduler.remove_target(agent_incarnation(1), lost.now);
    CHECK(lost.has_line("the link to its agent was lost"));
    lost.now += 1101ms;
    lost.scheduler.tick(lost.now);
    REQUIRE(lost.sent.size() == 2);
    CHECK(lost.sent[1].first == agent_incarnation(2));
    CHECK(lost.scheduler.counts().locality_waits_given_up == 1);

    entry_fixture cancelled;
    cancelled.scheduler.cancel(job_key(1), "test", cancelled.now);
    CHECK(cancelled.has_line("its job is over"));
}

TEST_CASE("start_estimator: capacity is free when single runs end")
{
    const auto order = [](int64_t cpu_millis, duration run = 60ms)
    {
        return queued_work{{cpu_millis, 0, 0}, run, false};
    };
    start_estimator f({3000, 0, 0});
    CHECK(f.start_of(order(3000)) == 0ms);
    f.add_started(order(1000, 900ms));
    f.add_started(order(1000, 50ms));
    f.add_started(order(1000, 0ms));
    CHECK(f.start_of(order(1000)) == 0ms);
    f.add(order(1000));
    CHECK(f.start_of(order(1000)) == 50ms);
    f.add(order(1000));
    CHECK(f.start_of(order(2000)) == 110ms);
}
