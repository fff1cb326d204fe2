#include <agatebank/core/probation_targets.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

struct sent_batch
{
    agent_incarnation agent;
    run_batch batch;
};

struct scheduler_fixture
{
    scheduler_fixture(duration discovery_window = {})
        : scheduler({1100ms, 1, start, discovery_window}, hooks())
    {
    }

    std::vector<sent_batch> sent;
    std::vector<order_id> cancelled;
    std::map<uint64_t, job_outcome> answers;
    time_point now = start;
    uint64_t last_key = 0;
    uint64_t losses = 0;
    job_scheduler scheduler;

    job_scheduler_hooks hooks()
    {
        return {[this](agent_incarnation a, const run_batch& b) {
                    sent.push_back({a, b});
                },
                [this](agent_incarnation, const std::vector<order_id>& ids)
                { cancelled.insert(cancelled.end(), ids.begin(), ids.end()); },
                [this](job_key k, const job_outcome& o)
                { answers[k.value()] = o; },
                [](const log_record&) {
                }};
    }

    void add_target(uint64_t agent)
    {
        target_profile p;
        p.target = "t" + std::to_string(agent);
        p.service = service_name("desk");
        p.capacity = {16000, 65536, 0};
        p.kind = "k";
        scheduler.put_target(agent_incarnation(agent), p, now);
        target_load l;
        l.accepts_work = true;
        scheduler.set_load(agent_incarnation(agent), l, now);
    }

    uint64_t admit(uint32_t tasks, duration deadline = 2s,
                   std::vector<step_plan> steps = {}, const char* route = "r")
    {
        job_submission a;
        a.id = "job" + std::to_string(++last_key);
        a.matched_route.name = route_name(route);
        a.matched_route.service = service_name("desk");
        a.matched_route.max_attempts = 2;
        a.matched_route.stretch = 1.6;
        a.matched_route.added_latency = 60ms;
        a.plan.steps = std::move(steps);
        if (a.plan.steps.empty())
        {
            step_plan s;
            s.tasks = tasks;
            s.task_resources = {1000, 10, 0};
            s.declared_run_time = 60ms;
            a.plan.steps = {s};
        }
        a.deadline = deadline;
        scheduler.admit(job_key(last_key), std::move(a), now);
        return last_key;
    }

    // Reports an outcome for the oldest order that has not ended.
    void end_next(run_outcome outcome)
    {
        REQUIRE_FALSE(sent.empty());
        auto& s = sent.front();
        const auto o = s.batch.orders.front();
        s.batch.orders.erase(s.batch.orders.begin());
        const auto agent = s.agent;
        if (s.batch.orders.empty())
        {
            sent.erase(sent.begin());
        }
        scheduler.on_end(agent, {o.id, outcome, 60'000, 0}, now);
    }

    // Loses the target of an agent while the first task of a job ran there.
    void lose(uint64_t job, uint64_t agent, bool isolated,
              const char* route = "r", bool confirmed = true)
    {
        scheduler.on_crashes(
            {{{"job" + std::to_string(job), 0, 0},
              route_name(route),
              service_name("desk"),
              {agent_incarnation(agent), loss_number(++losses)},
              isolated,
              confirmed}},
            now);
    }

    std::size_t open_orders() const
    {
        std::size_t n = 0;
        for (const auto& it : sent)
        {
            n += it.batch.orders.size();
        }
        return n;
    }
};

} // namespace

TEST_CASE("job_scheduler: answers a job when its last task is done")
{
    scheduler_fixture f;
    f.add_target(1);
    f.add_target(2);
    const auto key = f.admit(3);
    CHECK(f.open_orders() == 3);
    f.end_next(run_outcome::done);
    f.end_next(run_outcome::done);
    CHECK(f.answers.empty());
    f.end_next(run_outcome::done);
    REQUIRE(f.answers.count(key) == 1);
    CHECK(f.answers[key].result == job_result::succeeded);
}

TEST_CASE(
    "job_scheduler: retries, fails or ends a job by the outcome of its orders")
{
    struct row
    {
        const char* name;
        std::vector<run_outcome> ends;
        std::size_t orders; ///< total sent
        std::optional<job_result> answer;
    };
    using o = run_outcome;
    const row rows[] = {
        {"done", {o::done}, 1, job_result::succeeded},
        {"fails once", {o::failed}, 2, std::nullopt},
        {"fails twice", {o::failed, o::failed}, 2, job_result::failed},
        {"stops are not failures", {o::stopped, o::stalled, o::failed}, 4, {}},
        {"not run, then done", {o::not_run, o::done}, 2, job_result::succeeded},
        {"too late at one target only",
         {o::past_deadline, o::done},
         2,
         job_result::succeeded},
        {"too late at both, never run",
         {o::past_deadline, o::past_deadline},
         2,
         job_result::not_run},
        {"too late, after a run",
         {o::stopped, o::past_deadline},
         2,
         job_result::abandoned}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        scheduler_fixture f;
        f.add_target(1);
        f.add_target(2);
        const auto key = f.admit(1);
        for (const auto outcome : it.ends)
        {
            f.end_next(outcome);
        }
        CHECK(f.scheduler.counts().orders == it.orders);
        CHECK((f.answers.count(key) == 1) == it.answer.has_value());
        if (it.answer)
        {
            CHECK(f.answers[key].result == *it.answer);
        }
    }
}

TEST_CASE("job_scheduler: never reports 'not run' while another task may run")
{
    scheduler_fixture f;
    f.add_target(1);
    const auto key = f.admit(2);
    f.end_next(run_outcome::past_deadline);
    REQUIRE(f.answers.count(key) == 1);
    CHECK(f.answers[key].result == job_result::abandoned);
    CHECK(f.cancelled.size() == 1);
}

TEST_CASE("job_scheduler: refuses a job at once if no target fits")
{
    scheduler_fixture f;
    auto key = f.admit(1);
    CHECK(f.answers.at(key).result == job_result::not_run);
    f.add_target(1);
    step_plan s;
    s.task_resources = {17000, 10, 0};
    key = f.admit(1, 2s, {s});
    CHECK(f.answers.at(key).result == job_result::not_run);
    CHECK(f.answers.at(key).retry_after >= 1s);
    CHECK(f.sent.empty());
}

TEST_CASE(
    "job_scheduler: starts a step after all tasks of earlier steps are done")
{
    scheduler_fixture f;
    f.add_target(1);
    step_plan a;
    a.tasks = 2;
    a.task_resources = {1000, 10, 0};
    auto b = a;
    b.after = {0};
    const auto key = f.admit(0, 20s, {a, b});
    CHECK(f.open_orders() == 2);
    f.end_next(run_outcome::done);
    CHECK(f.open_orders() == 1);
    f.end_next(run_outcome::done);
    CHECK(f.open_orders() == 2);
    f.end_next(run_outcome::done);
    f.end_next(run_outcome::done);
    CHECK(f.answers.at(key).result == job_result::succeeded);
}

TEST_CASE("job_scheduler: places a lost agent's task elsewhere only after the "
          "agent has stopped it")
{
    scheduler_fixture f;
    f.add_target(1);
    f.admit(1, 5s);
    REQUIRE(f.open_orders() == 1);
    f.sent.clear();
    f.add_target(2);
    f.scheduler.remove_target(agent_incarnation(1), f.now);
    f.now += 1090ms;
    f.scheduler.tick(f.now);
    CHECK(f.sent.empty());
    f.now += 20ms;
    f.scheduler.tick(f.now);
    REQUIRE(f.open_orders() == 1);
    CHECK(f.sent.front().agent == agent_incarnation(2));
}

TEST_CASE("job_scheduler: ends a job at its deadline and stops its runs")
{
    scheduler_fixture f;
    f.add_target(1);
    const auto key = f.admit(3, 1s);
    f.now += 970ms;
    f.scheduler.tick(f.now);
    CHECK(f.answers.empty());
    f.now += 20ms;
    f.scheduler.tick(f.now);
    CHECK(f.answers.at(key).result == job_result::abandoned);
    CHECK(f.cancelled.size() == 3);
    f.end_next(run_outcome::done); // after the end of the job: ignored
    CHECK(f.scheduler.running_jobs() == 0);
}

TEST_CASE("job_scheduler: cancels the runs of a caller that disconnects")
{
    scheduler_fixture f;
    f.add_target(1);
    const auto key = f.admit(3);
    f.scheduler.cancel(job_key(key), "the caller disconnected", f.now);
    CHECK(f.cancelled.size() == 3);
    CHECK(f.answers.empty());
    CHECK(f.scheduler.running_jobs() == 0);
}

TEST_CASE("job_scheduler: raises the expected run time of a stalled task")
{
    scheduler_fixture f;
    f.add_target(1);
    f.admit(1, 20s);
    const auto first = f.sent.front().batch.orders.front().expected_us;
    f.end_next(run_outcome::stalled);
    CHECK(f.sent.front().batch.orders.front().expected_us == 4 * first);
}

TEST_CASE("job_scheduler: learns the speed of a target that reports a slowdown")
{
    // An agent compares run times with the entry's expectation. It therefore
    // reports a slowdown for a target that has always been slow, as long as
    // the entry has not learned its speed. If runs during a slowdown were
    // ignored before that, the speed would never be learned.
    scheduler_fixture f;
    f.add_target(1);
    f.add_target(2);
    target_load slowed;
    slowed.accepts_work = true;
    slowed.slowdown = 2;
    f.scheduler.set_load(agent_incarnation(2), slowed, f.now);
    step_plan spread;
    spread.tasks = 2;
    spread.max_per_target = 1;
    spread.task_resources = {1000, 10, 0};
    spread.declared_run_time = 100ms;
    const auto last_expected = [&f]
    {
        std::map<uint64_t, int64_t> out;
        for (const auto& it : f.sent)
        {
            out[it.agent.value()] = it.batch.orders.front().expected_us;
        }
        return out;
    };
    for (int i = 0; i < 40; ++i)
    {
        f.admit(2, 2s, {spread});
        for (const auto& it : std::exchange(f.sent, {}))
        {
            const int64_t run_us = it.agent.value() == 2 ? 200'000 : 50'000;
            f.scheduler.on_end(
                it.agent,
                {it.batch.orders.front().id, run_outcome::done, run_us, 0},
                f.now);
        }
    }
    f.admit(2, 2s, {spread});
    auto expected = last_expected();
    REQUIRE(expected.size() == 2);
    CHECK(expected[2] > 2 * expected[1]);
}

TEST_CASE("job_scheduler: refuses a job whose answer would come too late to be "
          "useful")
{
    // The objective is below 250 ms; the answer is useful for three times that.
    struct row
    {
        const char* name;
        duration wait; ///< in the queue of the only target at arrival
        bool admitted;
    };
    const row rows[] = {{"no queue", 0ms, true},
                        {"late, but useful", 300ms, true},
                        {"not useful, though before the deadline", 2s, false}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        scheduler_fixture f;
        f.add_target(1);
        target_load l;
        l.accepts_work = true;
        l.used.cpu_millis = 16000;
        l.queued_cpu_millis[0] = 15000; // about one mean run time ahead
        l.mean_run_us = it.wait.count();
        f.scheduler.set_load(agent_incarnation(1), l, f.now);
        const auto key = f.admit(1, 10s);
        CHECK(f.answers.count(key) == (it.admitted ? 0 : 1));
        CHECK(f.open_orders() == (it.admitted ? 1 : 0));
    }
}

TEST_CASE("job_scheduler: ends or isolates a task by the crashes of its "
          "targets")
{
    // A crash of another agent's target before the order's own one.
    struct row
    {
        const char* name;
        std::size_t earlier;
        bool isolated; ///< the order's crash
        std::optional<job_result> answer;
        bool next_isolated;
        bool confirmed = true; ///< the crashes
    };
    const row rows[] = {
        {"first crash", 0, false, std::nullopt, false},
        {"second crash", 1, false, std::nullopt, true},
        {"second crash, alone", 1, true, job_result::failed, false},
        {"third crash", 2, false, job_result::failed, false},
        {"first crash, alone", 0, true, job_result::abandoned, false},
        {"a second loss, alone, and it may not have started", 1, true,
         job_result::abandoned, false, false},
        {"a third loss, and it may not have started", 2, false,
         job_result::abandoned, false, false}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        scheduler_fixture f;
        f.add_target(1);
        f.add_target(2);
        const auto key = f.admit(1);
        for (std::size_t i = 0; i < it.earlier; ++i)
        {
            f.lose(key, 10 + i, false, "r", it.confirmed);
        }
        f.lose(key, f.sent.front().agent.value(), it.isolated, "r",
               it.confirmed);
        f.end_next(run_outcome::target_lost);
        CHECK((f.answers.count(key) == 1) == it.answer.has_value());
        if (it.answer)
        {
            CHECK(f.answers[key].result == *it.answer);
            continue;
        }
        REQUIRE(f.open_orders() == 1);
        CHECK(f.sent.front().batch.orders.front().isolated == it.next_isolated);
    }
}

// Guards against further starts of a task whose crashes were reported by way of
// another entry, as the link to its agent was lost: no end of its order comes.
TEST_CASE("job_scheduler: crashes count for a task of a lost agent, whenever "
          "they are reported")
{
    struct row
    {
        const char* name;
        std::size_t before_placing; ///< losses told while the agent is lost
        std::size_t after_placing;
        std::optional<job_result> answer;
        bool isolated; ///< the order that follows
    };
    const row rows[] = {
        {"one while lost", 1, 0, std::nullopt, false},
        {"two while lost", 2, 0, std::nullopt, true},
        {"three while lost", 3, 0, job_result::failed, false},
        {"the third while ordered elsewhere", 2, 1, job_result::failed, true}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        scheduler_fixture f;
        f.add_target(1);
        f.add_target(2);
        f.add_target(3);
        const auto key = f.admit(1, 9s);
        const auto lost = f.sent.front().agent;
        f.sent.clear();
        f.scheduler.remove_target(lost, f.now);
        for (std::size_t i = 0; i < it.before_placing; ++i)
        {
            f.lose(key, 10 + i, false);
        }
        f.now += 1100ms;
        f.scheduler.tick(f.now);
        if (it.before_placing < 3)
        {
            REQUIRE(f.open_orders() == 1);
            CHECK(f.sent.front().batch.orders.front().isolated == it.isolated);
        }
        for (std::size_t i = 0; i < it.after_placing; ++i)
        {
            f.lose(key, 20 + i, false);
        }
        REQUIRE((f.answers.count(key) == 1) == it.answer.has_value());
        if (it.answer)
        {
            CHECK(f.answers.at(key).result == *it.answer);
            CHECK(f.cancelled.size() == it.after_placing);
        }
    }
}

TEST_CASE("job_scheduler: a job of a route on probation starts with one task, "
          "away from the jobs of other routes")
{
    scheduler_fixture f;
    for (uint64_t agent = 1; agent <= 6; ++agent)
    {
        f.add_target(agent);
    }
    const auto probation = select_probation_targets(
        agents_of(f.scheduler.targets(), service_name("desk")));
    f.lose(100, 10, true, "h");
    f.admit(4, 2s, {}, "h");
    REQUIRE(f.open_orders() == 1);
    CHECK(probation.count(f.sent.front().agent) == 1);
    CHECK(f.sent.front().batch.orders.front().isolated);
    f.end_next(run_outcome::done);
    f.admit(40, 2s, {}, "r");
    CHECK(f.open_orders() == 43);
    for (const auto& it : f.sent)
    {
        CHECK(probation.count(it.agent) == 0);
        CHECK_FALSE(it.batch.orders.front().isolated);
    }
}

TEST_CASE("job_scheduler: while all probation targets are away, jobs of the "
          "route are refused at once and others are served")
{
    scheduler_fixture f;
    for (uint64_t agent = 1; agent <= 6; ++agent)
    {
        f.add_target(agent);
    }
    f.lose(100, 10, true, "h");
    for (const auto agent : select_probation_targets(
             agents_of(f.scheduler.targets(), service_name("desk"))))
    {
        f.scheduler.set_load(agent, {}, f.now);
    }
    const auto refused = f.admit(4, 2s, {}, "h");
    CHECK(f.answers.at(refused).result == job_result::not_run);
    CHECK(f.scheduler.counts().refused_on_probation == 1);
    f.admit(4, 2s, {}, "r");
    CHECK(f.open_orders() == 4);
    f.now += 11s;
    f.admit(4, 2s, {}, "h");
    CHECK(f.open_orders() == 8);
}

TEST_CASE("job_scheduler: a job that waited in vain for a probation target is "
          "not run, and one whose task crashes targets fails without a run")
{
    scheduler_fixture f;
    f.add_target(1);
    f.add_target(2);
    f.lose(100, 10, true, "h");
    f.admit(1, 2s, {}, "h");
    const auto waiting = f.admit(1, 2s, {}, "h");
    CHECK(f.answers.empty());
    f.now += 1s;
    f.scheduler.tick(f.now);
    REQUIRE(f.answers.count(waiting) == 1);
    CHECK(f.answers.at(waiting).result == job_result::not_run);
    f.lose(f.last_key + 1, 11, false, "h");
    f.lose(f.last_key + 1, 12, true, "h");
    f.sent.clear();
    const auto proven = f.admit(1, 2s, {}, "h");
    CHECK(f.answers.at(proven).result == job_result::failed);
    CHECK(f.sent.empty());
}

TEST_CASE("job_scheduler: a task with two crashes that finds no probation "
          "target fails its job, which is not called not run")
{
    scheduler_fixture f;
    for (uint64_t agent = 1; agent <= 6; ++agent)
    {
        f.add_target(agent);
    }
    for (const auto agent : select_probation_targets(
             agents_of(f.scheduler.targets(), service_name("desk"))))
    {
        f.scheduler.set_load(agent, {}, f.now);
    }
    f.lose(1, 10, false);
    f.lose(1, 11, false);
    const auto key = f.admit(1);
    CHECK(f.answers.at(key).result == job_result::failed);
    CHECK(f.sent.empty());
}

// Guards against an entry that keeps to the capacity with which a target
// announced itself.
TEST_CASE("job_scheduler: places by the capacity of the latest load report")
{
    struct row
    {
        const char* name;
        resources capacity;
        bool admitted;
    };
    const row rows[] = {{"unchanged", {16000, 65536, 0}, true},
                        {"shrunk below a task", {500, 65536, 0}, false},
                        {"less memory than a task", {16000, 5, 0}, false}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        scheduler_fixture f;
        f.add_target(1);
        target_load load;
        load.accepts_work = true;
        load.capacity = it.capacity;
        f.scheduler.set_load(agent_incarnation(1), load, f.now);
        const auto key = f.admit(1);
        CHECK((f.answers.count(key) == 0) == it.admitted);
        load.capacity = {16000, 65536, 0};
        f.scheduler.set_load(agent_incarnation(1), load, f.now);
        const auto again = f.admit(1);
        CHECK(f.answers.count(again) == 0);
    }
}
