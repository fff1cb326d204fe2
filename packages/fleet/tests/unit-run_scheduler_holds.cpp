#include <agatebank/fleet/run_scheduler.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
const order_source entry(1);

// One order, whose start was answered, and copies of its start call.
struct hold_fixture
{
    start_copies copies = start_copies::settled;
    time_point copies_since;
    std::optional<run_id> run;
    int stops = 0;
    int losses = 0;
    std::optional<run_outcome> reported;
    std::map<order_id, run_outcome> reports;
    time_point now = start;
    run_scheduler scheduler;

    hold_fixture()
        : scheduler({[this](const run_id& id, const std::string&) { run = id; },
                     [this](const run_id&) { ++stops; },
                     [this](order_source, const order_result& e)
                     {
                         reported = e.outcome;
                         reports[e.id] = e.outcome;
                     },
                     [this](const std::vector<lost_run>&) { ++losses; },
                     [](const log_record&) {},
                     {},
                     [this](const run_id&)
                     {
                         return start_call_state{copies, copies_since};
                     }})
    {
        scheduler.set_capacity({1000, 1000, 0}, now);
        order(order_id(1));
    }

    // No further order starts, so that the run is the only one.
    void order(order_id id)
    {
        scheduler.set_accepting_orders(true, now);
        run_batch b;
        b.job = "a";
        b.route = "r";
        b.task_resources = {1000, 10, 0};
        b.objective_us = duration(200ms).count();
        b.useful_until_us = duration(600ms).count();
        b.deadline_us = duration(2s).count();
        run_order o;
        o.id = id;
        o.expected_us = duration(400ms).count();
        b.orders = {o};
        scheduler.on_batch(entry, b, now);
        scheduler.set_accepting_orders(false, now);
    }

    void answer(start_answer a)
    {
        scheduler.on_start_answer(*run, a, now);
    }

    void pass(duration d)
    {
        now += d;
        scheduler.tick(now);
    }

    lease_answer lists(bool running, std::optional<ended_run_status> ended)
    {
        lease_answer out;
        if (running)
        {
            out.running.push_back({*run, 10});
        }
        if (ended)
        {
            out.ended.push_back({end_position(1), *run, *ended});
        }
        return out;
    }

    void list(bool running, std::optional<ended_run_status> ended = {})
    {
        now += 10ms;
        scheduler.on_listing(lists(running, ended), now, now);
    }
};

void list_lapsed(hold_fixture& f)
{
    f.list(false, ended_run_status::stopped);
}

void list_failed(hold_fixture& f)
{
    f.list(false, ended_run_status::failed);
}

void list_done(hold_fixture& f)
{
    f.list(false, ended_run_status::done);
}

void list_nothing(hold_fixture& f)
{
    f.list(false);
}

void lose(hold_fixture& f)
{
    f.scheduler.on_target_unreachable(1s, f.now);
}

void stop_and_list(hold_fixture& f)
{
    f.scheduler.withdraw_starts(f.now);
    f.scheduler.on_stop_answer(*f.run, true, f.now);
    f.list(false, ended_run_status::stopped);
}

// The run is missing in the list, as it has not begun.
void stop_and_list_nothing(hold_fixture& f)
{
    f.scheduler.withdraw_starts(f.now);
    f.scheduler.on_stop_answer(*f.run, true, f.now);
    f.list(false);
}

} // namespace

// Guards against a second run of a task: a copy of the start call begins one at
// the target's next incarnation, after the end was reported and the entry has
// placed the task elsewhere.
TEST_CASE("run_scheduler: an end is held only while a copy of the start call "
          "may begin another run")
{
    struct row
    {
        const char* name;
        void (*end)(hold_fixture&);
        bool answered;
        bool held_under_way;
        bool held_unanswered;
    };
    const row rows[] = {
        {"listed as lapsed", list_lapsed, true, true, true},
        {"listed as failed", list_failed, true, true, false},
        {"listed as done", list_done, true, false, false},
        {"not listed any more", list_nothing, true, true, true},
        {"target lost", lose, true, true, true},
        {"stopped on request", stop_and_list, false, true, false}};
    for (const auto& it : rows)
    {
        for (const auto copies :
             {start_copies::settled, start_copies::under_way,
              start_copies::unanswered})
        {
            INFO(it.name << ", copies " << static_cast<int>(copies));
            hold_fixture f;
            if (it.answered)
            {
                f.answer(start_answer::accepted);
            }
            f.copies = copies;
            it.end(f);
            const bool held =
                copies == start_copies::under_way    ? it.held_under_way
                : copies == start_copies::unanswered ? it.held_unanswered
                                                     : false;
            CHECK(f.reported.has_value() != held);
            CHECK(f.scheduler.holds_ends() == held);
            CHECK(f.scheduler.counts().held_ends == (held ? 1 : 0));
            f.copies = start_copies::settled;
            f.pass(50ms);
            CHECK(f.reported.has_value());
            CHECK(f.scheduler.running() == 0);
            CHECK(f.scheduler.counts().expired_holds == 0);
        }
    }
}

// Guards against a report when the next incarnation has accepted a copy: the
// answer doesn't tell which of the two it is from.
TEST_CASE("run_scheduler: an end is held until the target is listed after the "
          "last copy was answered")
{
    for (const auto answered : {0ms, 30ms})
    {
        INFO("answered " << answered.count() << " ms after the end");
        hold_fixture f;
        f.answer(start_answer::accepted);
        f.copies = start_copies::under_way;
        if (answered.count() == 0)
        {
            // The copy's answer overtakes the list.
            f.copies = start_copies::settled;
            f.copies_since = f.now + 10ms;
        }
        list_lapsed(f);
        f.pass(answered);
        f.copies = start_copies::settled;
        f.copies_since = f.now;
        f.pass(5ms);
        CHECK_FALSE(f.reported);
        f.list(false);
        CHECK(f.reported == run_outcome::stopped);
    }
}

// Guards against an order that is never reported, and against a loss that is
// reported for each failed call.
TEST_CASE("run_scheduler: an end is held for a bounded time")
{
    hold_fixture f;
    f.answer(start_answer::accepted);
    f.copies = start_copies::unanswered;
    lose(f);
    lose(f);
    f.pass(1500ms);
    CHECK_FALSE(f.reported);
    f.pass(100ms);
    CHECK(f.reported == run_outcome::target_lost);
    CHECK(f.losses == 1);
    CHECK(f.scheduler.counts().target_losses == 1);
    CHECK(f.scheduler.counts().expired_holds == 1);
}

// Guards against a report while the next incarnation runs the copy, which does
// not know of a stop request that the earlier one has accepted.
TEST_CASE("run_scheduler: a held end is reported when the next incarnation "
          "does not run the copy any more")
{
    for (const bool runs : {false, true})
    {
        INFO("the copy begins a run: " << runs);
        hold_fixture f;
        f.copies = start_copies::under_way;
        stop_and_list(f);
        REQUIRE_FALSE(f.reported);
        f.scheduler.on_new_incarnation(f.lists(runs, {}), f.now);
        CHECK(f.reported.has_value() != runs);
        CHECK(f.stops == (runs ? 2 : 1));
        if (runs)
        {
            f.list(true);
            CHECK_FALSE(f.reported);
            f.list(false, ended_run_status::stopped);
            CHECK(f.reported == run_outcome::stopped);
        }
    }
}

TEST_CASE("run_scheduler: a copy that the next incarnation has completed ends "
          "the order as done")
{
    hold_fixture f;
    f.answer(start_answer::accepted);
    f.copies = start_copies::under_way;
    list_lapsed(f);
    const auto lists = f.lists(false, ended_run_status::done);
    f.scheduler.on_new_incarnation(lists, f.now);
    f.scheduler.on_listing(lists, f.now, f.now);
    CHECK(f.reported == run_outcome::done);
}

// Guards against an order that is returned as not run, and then run by a copy
// of the start call that the target carries out after refusing another one.
TEST_CASE("run_scheduler: a refused start is stopped while a copy of it is not "
          "answered")
{
    for (const auto answer :
         {start_answer::no_capacity, start_answer::superseded,
          start_answer::refused, start_answer::fenced, start_answer::expired})
    {
        INFO("answer " << static_cast<int>(answer));
        hold_fixture f;
        f.copies = start_copies::under_way;
        f.answer(answer);
        CHECK_FALSE(f.reported);
        CHECK(f.stops == 1);
        f.scheduler.on_stop_answer(*f.run, true, f.now);
        f.copies = start_copies::settled;
        f.list(false);
        CHECK(f.reported == run_outcome::not_run);
    }
}

// Guards against a job that is refused as not run, and a call to start its task
// that had no answer and is carried out by the target's next incarnation.
TEST_CASE("run_scheduler: a stopped start is reported as not run only if each "
          "copy of its call was refused")
{
    struct row
    {
        const char* name;
        std::optional<start_answer> answer; ///< none: withdrawn
        start_copies copies;                ///< after it
        run_outcome outcome;
    };
    const row rows[] = {
        {"no answer", start_answer::unknown, start_copies::unanswered,
         run_outcome::stopped},
        {"no answer, forgotten by the client", start_answer::unknown,
         start_copies::settled, run_outcome::stopped},
        {"withdrawn, no answer",
         {},
         start_copies::unanswered,
         run_outcome::stopped},
        {"withdrawn, refused", {}, start_copies::settled, run_outcome::not_run},
        {"refused, a copy had no answer", start_answer::refused,
         start_copies::unanswered, run_outcome::stopped},
        {"no room, a copy had no answer", start_answer::no_capacity,
         start_copies::unanswered, run_outcome::stopped},
        {"refused", start_answer::refused, start_copies::settled,
         run_outcome::not_run},
        {"no room", start_answer::no_capacity, start_copies::settled,
         run_outcome::not_run},
        {"late", start_answer::expired, start_copies::settled,
         run_outcome::not_run}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        hold_fixture f;
        f.copies = it.copies;
        if (it.answer)
        {
            f.answer(*it.answer);
        }
        else
        {
            f.scheduler.withdraw_starts(f.now);
        }
        if (!f.reported)
        {
            f.scheduler.on_stop_answer(*f.run, true, f.now);
            f.list(false);
        }
        CHECK(f.reported == it.outcome);
    }
}

TEST_CASE("run_scheduler: a start that was accepted after its withdrawal is "
          "not reported as not run")
{
    hold_fixture f;
    f.scheduler.withdraw_starts(f.now);
    f.answer(start_answer::accepted);
    f.scheduler.on_stop_answer(*f.run, true, f.now);
    f.list(false);
    CHECK(f.reported == run_outcome::stopped);
}

// Guards against a job that is refused as not run when the time for which its
// order is held is over, although a call may be carried out seconds later.
TEST_CASE("run_scheduler: an order whose hold expires is not reported as not "
          "run")
{
    hold_fixture f;
    f.copies = start_copies::under_way;
    stop_and_list_nothing(f);
    REQUIRE_FALSE(f.reported);
    f.pass(1600ms);
    CHECK(f.reported == run_outcome::stopped);
    CHECK(f.scheduler.counts().expired_holds == 1);
}

// Guards against a job that is refused as not run although the target's next
// incarnation has carried out a copy of the start call. A run that has ended
// before the agent's first list may be missing there, as the position of the
// earlier incarnation's last end makes the target forget it.
TEST_CASE("run_scheduler: an order that is held while its target restarts is "
          "not reported as not run")
{
    const std::optional<ended_run_status> rows[] = {
        ended_run_status::failed, ended_run_status::stopped, {}};
    for (const auto& it : rows)
    {
        INFO("listed end: " << (it ? static_cast<int>(*it) : -1));
        hold_fixture f;
        f.copies = start_copies::under_way;
        stop_and_list_nothing(f);
        REQUIRE_FALSE(f.reported);
        f.copies = start_copies::settled;
        f.copies_since = f.now;
        const auto lists = f.lists(false, it);
        f.scheduler.on_new_incarnation(lists, f.now);
        f.scheduler.on_listing(lists, f.now, f.now);
        CHECK(f.reported == run_outcome::stopped);
    }
}

// The same list again, as answers may overtake each other.
TEST_CASE("run_scheduler: a held order whose end is listed late is not "
          "reported as not run")
{
    hold_fixture f;
    f.copies = start_copies::under_way;
    stop_and_list_nothing(f);
    REQUIRE_FALSE(f.reported);
    list_failed(f);
    f.copies = start_copies::settled;
    f.pass(50ms);
    CHECK(f.reported == run_outcome::stopped);
}

// Guards against two orders of a task with one run id: the second takes the
// place of the held one, which is then never reported, so that its job has no
// answer.
TEST_CASE("run_scheduler: a run number is not used again while the end of its "
          "run is held")
{
    hold_fixture f;
    f.answer(start_answer::accepted);
    f.copies = start_copies::under_way;
    lose(f);
    REQUIRE(f.scheduler.holds_ends());
    const auto held = *f.run;
    f.scheduler.set_capacity({2000, 2000, 0}, f.now);
    f.order(order_id(2));
    CHECK(f.run->run > held.run);
    CHECK(f.scheduler.running() == 2);
    f.answer(start_answer::accepted);
    f.copies = start_copies::settled;
    f.pass(50ms);
    CHECK(f.reports.count(order_id(1)) == 1);
    list_done(f);
    CHECK(f.reports.count(order_id(2)) == 1);
    CHECK(f.scheduler.running() == 0);
}
