#include <agatebank/fleet/run_scheduler.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
const order_source entry(1);

struct scheduler_fixture
{
    std::vector<run_id> started;
    std::vector<run_id> stopped;
    std::vector<order_result> ends;
    std::vector<lost_run> losses;
    time_point now = start;
    run_scheduler scheduler;

    explicit scheduler_fixture(order_return_options returns = {})
        : scheduler({[this](const run_id& n, const std::string&)
                     { started.push_back(n); },
                     [this](const run_id& n) { stopped.push_back(n); },
                     [this](order_source, const order_result& e)
                     { ends.push_back(e); },
                     [this](const std::vector<lost_run>& lost)
                     { losses.insert(losses.end(), lost.begin(), lost.end()); },
                     [](const log_record&) {
                     }},
                    {returns})
    {
        scheduler.set_capacity({2000, 1000, 0}, now);
        scheduler.set_accepting_orders(true, now);
    }

    void order(uint64_t id, const char* job, uint32_t priority = 0,
               duration deadline = 2s, duration expected = 60ms,
               bool isolated = false)
    {
        run_batch b;
        b.job = job;
        b.route = "r";
        b.task_resources = {1000, 10, 0};
        b.priority = priority;
        b.objective_us = duration(200ms).count();
        b.useful_until_us = duration(600ms).count();
        b.deadline_us = deadline.count();
        run_order o;
        o.id = order_id(id);
        o.expected_us = expected.count();
        o.isolated = isolated;
        b.orders = {o};
        scheduler.on_batch(entry, b, now);
    }

    void accept_all()
    {
        for (const auto& it : started)
        {
            scheduler.on_start_answer(it, start_answer::accepted, now);
        }
    }

    void list(std::vector<active_run> running, std::vector<ended_run> ended)
    {
        now += 10ms;
        lease_answer a;
        a.running = std::move(running);
        a.ended = std::move(ended);
        scheduler.on_listing(a, now, now);
    }
};

} // namespace

TEST_CASE("run_scheduler: starts orders by priority when resources are free")
{
    scheduler_fixture f;
    f.order(1, "a", 1);
    f.order(2, "b", 1);
    f.order(3, "c", 2);
    f.order(4, "d", 0);
    REQUIRE(f.started.size() == 2);
    CHECK(f.scheduler.queued() == 2);
    f.accept_all();
    f.list({{f.started[1], 50}},
           {{end_position(1), f.started[0], ended_run_status::done}});
    REQUIRE(f.started.size() == 3);
    CHECK(f.started[2].task == "d.0.0.0");
    REQUIRE(f.ends.size() == 1);
    CHECK(f.ends[0].outcome == run_outcome::done);
}

TEST_CASE(
    "run_scheduler: frees resources only when the run is known to have ended")
{
    struct row
    {
        const char* name;
        start_answer answer;
        bool frees_at_once;
        run_outcome outcome;
    };
    const row rows[] = {
        {"refused", start_answer::refused, true, run_outcome::not_run},
        {"expired", start_answer::expired, true, run_outcome::not_run},
        {"unknown", start_answer::unknown, false, run_outcome::stopped}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        scheduler_fixture f;
        f.order(1, "a");
        f.scheduler.on_start_answer(f.started[0], it.answer, f.now);
        CHECK(f.ends.empty() != it.frees_at_once);
        if (!it.frees_at_once)
        {
            REQUIRE(f.stopped.size() == 1);
            f.list({}, {});
            CHECK(f.ends.empty()); // the target has not accepted the stop
            f.scheduler.on_stop_answer(f.stopped[0], true, f.now);
            f.list({}, {});
        }
        REQUIRE(f.ends.size() == 1);
        CHECK(f.ends[0].outcome == it.outcome);
        CHECK(f.scheduler.load(f.now).used == resources{});
    }
}

TEST_CASE("run_scheduler: repeats an unanswered stop request")
{
    scheduler_fixture f;
    f.order(1, "a");
    f.accept_all();
    f.scheduler.on_cancel(entry, {order_id(1)}, f.now);
    REQUIRE(f.stopped.size() == 1);
    f.scheduler.on_stop_answer(f.stopped[0], false, f.now);
    f.now += 250ms;
    f.scheduler.tick(f.now);
    CHECK(f.stopped.size() == 2);
}

TEST_CASE("run_scheduler: stops the runs and drops the queue of a lost entry")
{
    scheduler_fixture f;
    f.order(1, "a");
    f.order(2, "b");
    f.order(3, "c");
    f.accept_all();
    f.scheduler.on_source_lost(entry, f.now);
    CHECK(f.stopped.size() == 2);
    CHECK(f.scheduler.queued() == 0);
    f.list({}, {{end_position(1), f.stopped[0], ended_run_status::stopped},
                {end_position(2), f.stopped[1], ended_run_status::stopped}});
    CHECK(f.scheduler.running() == 0);
    CHECK(f.ends.empty()); // no entry expects a report
}

TEST_CASE("run_scheduler: numbers each further run of a task higher")
{
    scheduler_fixture f;
    f.order(1, "a");
    f.scheduler.on_start_answer(f.started[0], start_answer::superseded, f.now);
    REQUIRE(f.started.size() == 1);
    f.scheduler.tick(f.now);
    REQUIRE(f.started.size() == 2);
    CHECK(f.started[1].run == f.started[0].run + 1);
}

// Guards against orders that wait at a target which accepts no more work.
TEST_CASE("run_scheduler: an order whose start is refused is returned at once "
          "while no runs may start")
{
    for (const auto answer :
         {start_answer::superseded, start_answer::no_capacity})
    {
        scheduler_fixture f;
        f.order(1, "a");
        f.scheduler.set_accepting_orders(false, f.now);
        f.scheduler.on_start_answer(f.started[0], answer, f.now);
        REQUIRE(f.ends.size() == 1);
        CHECK(f.ends[0].outcome == run_outcome::not_run);
        f.scheduler.set_accepting_orders(true, f.now);
        CHECK(f.started.size() == 1);
    }
}

TEST_CASE("run_scheduler: does not start an order that cannot finish in time")
{
    scheduler_fixture f;
    f.order(1, "a");
    f.order(2, "b");
    f.order(3, "c", 0, 500ms, 100ms);
    f.accept_all();
    f.now += 450ms;
    f.list({}, {{end_position(1), f.started[0], ended_run_status::done},
                {end_position(2), f.started[1], ended_run_status::done}});
    CHECK(f.started.size() == 2);
    REQUIRE(f.ends.size() == 3);
    CHECK(f.ends[2].outcome == run_outcome::past_deadline);
}

TEST_CASE("run_scheduler: starts orders with a useful result before others")
{
    // Objective 200 ms, result useful until 600 ms, deadline 2 s.
    struct row
    {
        const char* name;
        duration waited;
        duration expected_first; ///< run time of the order received first
        const char* next;
    };
    const row rows[] = {{"both on time", 0ms, 60ms, "first"},
                        {"first would be late", 0ms, 300ms, "second"},
                        {"both late", 400ms, 60ms, "first"},
                        {"first would not be useful", 400ms, 300ms, "second"},
                        {"neither useful", 700ms, 60ms, "first"}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        scheduler_fixture f({false, false});
        f.order(1, "a", 0, 5s);
        f.order(2, "b", 0, 5s);
        f.accept_all();
        f.order(3, "first", 0, 2s, it.expected_first);
        f.order(4, "second", 1, 2s, 60ms);
        f.now += it.waited;
        f.list({{f.started[1], 99}},
               {{end_position(1), f.started[0], ended_run_status::done}});
        REQUIRE(f.started.size() == 3);
        CHECK(f.started[2].task == std::string(it.next) + ".0.0.0");
    }
}

TEST_CASE(
    "run_scheduler: returns queued and new orders while the target is closed")
{
    scheduler_fixture f;
    f.order(1, "a");
    f.order(2, "b");
    f.order(3, "c");
    f.scheduler.set_accepting_orders(false, f.now);
    REQUIRE(f.ends.size() == 1);
    CHECK(f.ends[0].outcome == run_outcome::not_run);
    f.order(4, "d");
    REQUIRE(f.ends.size() == 2);
    CHECK(f.ends[1].id == order_id(4));
}

TEST_CASE("run_scheduler: stops listed runs that have no order")
{
    scheduler_fixture f;
    f.list({{{"x.0.0.0", 1}, 10}}, {});
    REQUIRE(f.stopped.size() == 1);
    CHECK(f.stopped[0].task == "x.0.0.0");
}

TEST_CASE(
    "run_scheduler: stops a run without progress and reports it as stalled")
{
    scheduler_fixture f;
    f.order(1, "a");
    f.accept_all();
    f.now += 400ms;
    f.list({{f.started[0], 0}}, {});
    REQUIRE(f.stopped.size() == 1);
    f.list({}, {{end_position(1), f.started[0], ended_run_status::stopped}});
    REQUIRE(f.ends.size() == 1);
    CHECK(f.ends[0].outcome == run_outcome::stalled);
}

TEST_CASE("run_scheduler: an expired lease ends the runs and keeps the queue")
{
    scheduler_fixture f;
    f.order(1, "a");
    f.order(2, "b");
    f.order(3, "c");
    f.scheduler.on_lease_expired(f.now);
    CHECK(f.ends.size() == 2);
    CHECK(f.scheduler.queued() == 1);
}

TEST_CASE(
    "run_scheduler: stops a late start in a new incarnation and awaits its end")
{
    scheduler_fixture f;
    f.order(1, "a");
    f.order(2, "b");
    f.accept_all();
    f.scheduler.on_new_incarnation({{}, {}, {{f.started[0], 0}}, {}}, f.now);
    REQUIRE(f.ends.size() == 1);
    CHECK(f.ends[0].id == order_id(2));
    REQUIRE(f.stopped.size() == 1);
    f.list({}, {{end_position(1), f.started[0], ended_run_status::stopped}});
    REQUIRE(f.ends.size() == 2);
    CHECK(f.ends[1].outcome == run_outcome::stopped);
}

TEST_CASE(
    "run_scheduler: returns orders at once whose turn would come too late")
{
    scheduler_fixture f({false, false});
    // Two tasks run at a time; each takes 500 ms.
    for (uint64_t i = 1; i <= 8; ++i)
    {
        f.order(i, "a", 0, 1400ms, 500ms);
    }
    CHECK(f.ends.empty());
    f.now += 1ms;
    f.scheduler.tick(f.now);
    // Starts at 0, 500 and 1000 ms; the third pair would end at 1500 ms, after
    // the deadline of 1400 ms.
    CHECK(f.ends.size() >= 3);
    for (const auto& it : f.ends)
    {
        CHECK(it.outcome == run_outcome::past_deadline);
    }
    CHECK(f.scheduler.running() == 2);
    CHECK(f.scheduler.queued() >= 2);
}

TEST_CASE("run_scheduler: an isolated run shares the target with no other")
{
    scheduler_fixture f;
    f.order(1, "a");
    f.order(2, "b", 0, 2s, 60ms, true);
    f.order(3, "c", 1);
    REQUIRE(f.started.size() == 1);
    f.accept_all();
    f.list({}, {{end_position(1), f.started[0], ended_run_status::done}});
    REQUIRE(f.started.size() == 2);
    CHECK(f.started[1].task == "b.0.0.0");
    f.accept_all();
    f.list({}, {{end_position(2), f.started[1], ended_run_status::done}});
    REQUIRE(f.started.size() == 3);
    CHECK(f.started[2].task == "c.0.0.0");
}

TEST_CASE("run_scheduler: reports the runs that ended with the target, before "
          "the orders' ends")
{
    for (const bool isolated : {false, true})
    {
        scheduler_fixture f;
        f.order(1, "a", 0, 2s, 60ms, isolated);
        f.accept_all();
        f.scheduler.on_target_unreachable(1s, f.now);
        REQUIRE(f.losses.size() == 1);
        CHECK(f.losses[0].task == task_position{"a", 0, 0});
        CHECK(f.losses[0].route == route_name("r"));
        CHECK(f.losses[0].isolated == isolated);
        REQUIRE(f.ends.size() == 1);
        CHECK(f.ends[0].outcome == run_outcome::target_lost);
        CHECK(f.scheduler.counts().target_losses == 1);
        f.scheduler.on_lease_expired(f.now);
        CHECK(f.scheduler.counts().target_losses == 1);
    }
}

// Guards against an agent that starts runs beside those of the agent before it,
// whose resources it does not know, at a target that takes whatever it is sent.
TEST_CASE("run_scheduler: starts nothing until the runs that a previous agent "
          "left at the target have ended")
{
    scheduler_fixture f;
    const run_id left{"old.0.0.0", 1};
    f.scheduler.on_new_incarnation({{}, {}, {{left, 10}}, {}}, f.now);
    f.order(1, "a");
    CHECK(f.started.empty());
    f.list({{left, 20}}, {});
    CHECK(f.started.empty());
    CHECK(f.stopped == std::vector<run_id>{left});
    f.list({}, {{end_position(1), left, ended_run_status::stopped}});
    CHECK(f.started.size() == 1);
}

// Guards against runs that are started beside one whose resources are not
// known: a start call that the target carried out late, after its order's end.
TEST_CASE("run_scheduler: starts nothing while the target lists a run that no "
          "order accounts for")
{
    scheduler_fixture f;
    const run_id late{"late.0.0.0", 1};
    CHECK_FALSE(f.scheduler.has_unknown_runs());
    f.order(1, "a");
    REQUIRE(f.started.size() == 1);
    f.accept_all();
    f.list({{f.started[0], 20}, {late, 10}}, {});
    CHECK(f.scheduler.has_unknown_runs());
    CHECK(f.stopped == std::vector<run_id>{late});
    f.order(2, "b");
    CHECK(f.started.size() == 1);
    // The stop was lost and is repeated.
    f.list({{f.started[0], 40}, {late, 20}}, {});
    CHECK(f.stopped == std::vector<run_id>{late, late});
    CHECK(f.started.size() == 1);
    f.list({{f.started[0], 60}},
           {{end_position(1), late, ended_run_status::stopped}});
    CHECK_FALSE(f.scheduler.has_unknown_runs());
    CHECK(f.started.size() == 2);
}

namespace
{

void restart(scheduler_fixture& f)
{
    f.scheduler.on_new_incarnation({}, f.now);
}

void refuse_connections(scheduler_fixture& f)
{
    f.scheduler.on_target_unreachable(700ms, f.now);
}

void let_lease_expire(scheduler_fixture& f)
{
    f.scheduler.on_lease_expired(f.now);
}

} // namespace

// Guards against a job that is failed for a crash under a task of it that had
// not started there, or for a target that was only cut off: a start without an
// answer, refused connections, or a lease that expired.
TEST_CASE("run_scheduler: a loss is confirmed only if the run had started and "
          "the target crashed")
{
    struct row
    {
        const char* name;
        bool accepted;
        void (*lose)(scheduler_fixture&);
        bool confirmed;
    };
    const row rows[] = {
        {"restarted", true, restart, true},
        {"restarted, start not answered", false, restart, false},
        {"refuses connections", true, refuse_connections, false},
        {"lease expired", true, let_lease_expire, false}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        scheduler_fixture f;
        f.order(1, "a");
        if (it.accepted)
        {
            f.accept_all();
        }
        it.lose(f);
        REQUIRE(f.losses.size() == 1);
        CHECK(f.losses[0].confirmed == it.confirmed);
    }
}

// Guards against a second run of a task whose target refuses connections as it
// is cut off, and runs on.
TEST_CASE("run_scheduler: an order whose target can't be reached ends with the "
          "time for which its run may go on")
{
    struct row
    {
        const char* name;
        void (*lose)(scheduler_fixture&);
        duration may_run;
    };
    const row rows[] = {{"restarted", restart, 0ms},
                        {"refuses connections", refuse_connections, 700ms},
                        {"lease expired", let_lease_expire, 0ms}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        scheduler_fixture f;
        f.order(1, "a");
        f.accept_all();
        it.lose(f);
        REQUIRE(f.ends.size() == 1);
        CHECK(f.ends[0].outcome == run_outcome::target_lost);
        CHECK(duration(f.ends[0].may_run_us) == it.may_run);
    }
}

// Guards against runs that go on beside new ones, or are taken for them, once
// the path to a target that was cut off is open again.
TEST_CASE("run_scheduler: runs of a target that was cut off are stopped, and "
          "nothing starts beside them")
{
    scheduler_fixture f;
    f.order(1, "a");
    f.accept_all();
    f.scheduler.set_accepting_orders(false, f.now);
    refuse_connections(f);
    const auto left = f.started[0];
    f.now += 100ms;
    f.list({{left, 50}}, {});
    CHECK(f.stopped == std::vector<run_id>{left});
    f.scheduler.set_accepting_orders(true, f.now);
    f.order(2, "a");
    CHECK(f.started.size() == 1);
    f.list({}, {{end_position(1), left, ended_run_status::done}});
    REQUIRE(f.started.size() == 2);
    CHECK(f.started[1].run > left.run);
    CHECK(f.ends.size() == 1);
}

// Guards against an order that blocks the queue until its deadline, since it
// needs more than the target's capacity after this has shrunk.
TEST_CASE(
    "run_scheduler: after the capacity has shrunk, orders that fit no more "
    "are returned at once, and runs continue")
{
    struct row
    {
        const char* name;
        resources capacity;
        std::size_t returned;
        std::size_t queued;
    };
    const row rows[] = {{"less than an order needs", {500, 1000, 0}, 2, 0},
                        {"less memory than it needs", {2000, 5, 0}, 2, 0},
                        {"less than what runs", {1000, 1000, 0}, 0, 2},
                        {"grown", {3000, 1000, 0}, 0, 1}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        scheduler_fixture f;
        for (uint64_t id = 1; id <= 4; ++id)
        {
            f.order(id, "a");
        }
        REQUIRE(f.started.size() == 2);
        f.accept_all();
        f.scheduler.set_capacity(it.capacity, f.now);
        REQUIRE(f.ends.size() == it.returned);
        for (const auto& end : f.ends)
        {
            CHECK(end.outcome == run_outcome::not_run);
        }
        CHECK(f.scheduler.queued() == it.queued);
        CHECK(f.stopped.empty());
        CHECK(f.scheduler.load(f.now).capacity == it.capacity);
    }
}

// Guards against a series of starts that the target refuses, between the time
// at which its capacity shrinks and its announcement.
TEST_CASE("run_scheduler: a start that the target refused for lack of capacity "
          "is not repeated in series")
{
    scheduler_fixture f({false, false});
    f.order(1, "a", 0, 9s);
    f.order(2, "b", 0, 9s);
    REQUIRE(f.started.size() == 2);
    f.scheduler.on_start_answer(f.started[0], start_answer::accepted, f.now);
    f.scheduler.on_start_answer(f.started[1], start_answer::no_capacity, f.now);
    const auto first = f.started[0];
    const auto tick_for = [&f](duration d)
    {
        for (const auto end = f.now + d; f.now < end; f.now += 10ms)
        {
            f.scheduler.tick(f.now);
        }
    };
    tick_for(150ms);
    CHECK(f.started.size() == 2);
    tick_for(100ms);
    REQUIRE(f.started.size() == 3);
    f.scheduler.on_start_answer(f.started[2], start_answer::no_capacity, f.now);
    tick_for(350ms);
    CHECK(f.started.size() == 3);

    // The other run ends, so the start would lead to a smaller use.
    f.list({}, {{end_position(1), first, ended_run_status::done}});
    REQUIRE(f.started.size() == 4);
    f.scheduler.on_start_answer(f.started[3], start_answer::accepted, f.now);
}

// Guards against a pause that outlasts the lack of capacity.
TEST_CASE("run_scheduler: an announcement of the capacity ends the pause after "
          "a refused start")
{
    scheduler_fixture f;
    f.order(1, "a", 0, 9s);
    f.scheduler.on_start_answer(f.started[0], start_answer::no_capacity, f.now);
    f.scheduler.tick(f.now);
    CHECK(f.started.size() == 1);
    f.scheduler.set_capacity({3000, 1000, 0}, f.now);
    CHECK(f.started.size() == 2);
}
