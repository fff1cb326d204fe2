#include <agatebank/fleet/run_scheduler.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
const order_source first_entry(1);
const order_source second_entry(2);

// An agent with room for two runs. Both entries send orders.
struct agent_fixture
{
    std::vector<run_id> started;
    std::vector<run_id> stopped;
    std::vector<std::pair<order_source, order_result>> ends;
    time_point now = start;
    run_scheduler scheduler{{[this](const run_id& id, const std::string&)
                             { started.push_back(id); },
                             [this](const run_id& id)
                             { stopped.push_back(id); },
                             [this](order_source s, const order_result& r)
                             { ends.emplace_back(s, r); },
                             [](const std::vector<lost_run>&) {},
                             [](const log_record&) {
                             }},
                            {{false, false}}};

    agent_fixture()
    {
        scheduler.set_capacity({2000, 1000, 0}, now);
        scheduler.set_accepting_orders(true, now);
    }

    void order(order_source from, uint64_t id)
    {
        run_batch b;
        b.job = "job" + std::to_string(id);
        b.route = "r";
        b.task_resources = {1000, 10, 0};
        b.objective_us = duration(200ms).count();
        b.useful_until_us = duration(600ms).count();
        b.deadline_us = duration(2s).count();
        run_order o;
        o.id = order_id(id);
        o.expected_us = duration(60ms).count();
        b.orders = {o};
        scheduler.on_batch(from, b, now);
    }

    // What the agent does when its target's domain is evacuated.
    void evacuate()
    {
        scheduler.withdraw_starts(now);
        scheduler.set_accepting_orders(false, now);
    }

    std::size_t returned(order_source to) const
    {
        return static_cast<std::size_t>(
            std::count_if(ends.begin(), ends.end(),
                          [to](const auto& e) {
                              return e.first == to &&
                                     e.second.outcome == run_outcome::not_run;
                          }));
    }
};

} // namespace

// Guards against an order that is returned to no entry or to another one; its
// job would wait until its deadline.
TEST_CASE("evacuated runs: each queued order is returned to its entry")
{
    agent_fixture f;
    for (uint64_t id = 1; id <= 40; ++id)
    {
        f.order(id % 2 == 0 ? first_entry : second_entry, id);
    }
    for (const auto& it : std::vector<run_id>(f.started))
    {
        f.scheduler.on_start_answer(it, start_answer::accepted, f.now);
    }
    f.evacuate();
    CHECK(f.scheduler.queued() == 0);
    CHECK(f.returned(first_entry) == 19);
    CHECK(f.returned(second_entry) == 19);
    // Active runs end by themselves.
    CHECK(f.stopped.empty());
    CHECK(f.scheduler.running() == 2);
}

// Guards against a start that is repeated, by a copy of the call or by a new
// run number, after the agent has learned of the evacuation.
TEST_CASE("evacuated runs: a start without an answer is not repeated")
{
    struct row
    {
        const char* what;
        std::optional<start_answer> answer;
        bool returned;
    };
    const row rows[] = {
        {"never answered", {}, false},
        {"no room at the target", start_answer::no_capacity, true},
        {"run number superseded", start_answer::superseded, true}};
    for (const auto& it : rows)
    {
        for (const bool before_answer : {true, false})
        {
            INFO(it.what << ", evacuated before the answer: " << before_answer);
            agent_fixture f;
            f.order(first_entry, 1);
            REQUIRE(f.started.size() == 1);
            if (before_answer)
            {
                f.evacuate();
                CHECK(f.stopped == f.started);
            }
            if (it.answer)
            {
                f.scheduler.on_start_answer(f.started[0], *it.answer, f.now);
            }
            if (!before_answer)
            {
                // An order that is queued again may be started at once, before
                // the agent knows.
                f.evacuate();
            }
            const auto before = f.started.size();
            for (int i = 0; i < 20; ++i)
            {
                f.now += 50ms;
                f.scheduler.tick(f.now);
            }
            CHECK(f.started.size() == before);
            if (!before_answer && it.returned)
            {
                CHECK(f.returned(first_entry) == 1);
                CHECK(f.scheduler.queued() == 0);
            }
        }
    }
}

// Guards against a run that was withdrawn and counts as not run although the
// target had started it, and against one that is never returned.
TEST_CASE("evacuated runs: a withdrawn start is returned once its end is known")
{
    struct row
    {
        const char* what;
        bool had_started;
        run_outcome outcome;
    };
    const row rows[] = {{"had started", true, run_outcome::stopped},
                        {"had not started", false, run_outcome::not_run}};
    for (const auto& it : rows)
    {
        INFO(it.what);
        agent_fixture f;
        f.order(first_entry, 1);
        f.evacuate();
        CHECK(f.ends.empty());
        f.scheduler.on_stop_answer(f.started[0], true, f.now);
        f.now += 10ms;
        lease_answer a;
        if (it.had_started)
        {
            a.ended = {
                {end_position(1), f.started[0], ended_run_status::stopped}};
        }
        f.scheduler.on_listing(a, f.now, f.now);
        REQUIRE(f.ends.size() == 1);
        CHECK(f.ends[0].second.outcome == it.outcome);
    }
}
