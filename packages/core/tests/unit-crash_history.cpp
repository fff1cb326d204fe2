#include <agatebank/core/crash_history.hpp>
#include <agatebank/core/probation_targets.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

task_position task(const std::string& job)
{
    return {job, 0, 0};
}

// The report of a task at the only loss of an agent's target. A job's route is
// the first letter of its id.
crash_report report(const std::string& job, uint64_t agent,
                    bool isolated = false, bool started_last = false)
{
    return {task(job),
            route_name(job.substr(0, 1)),
            service_name("desk"),
            {agent_incarnation(agent), loss_number(1)},
            isolated,
            true,
            started_last};
}

} // namespace

TEST_CASE("crash_history: tells a task that crashes its targets from those "
          "that were there")
{
    using s = crash_standing;
    struct row
    {
        const char* name;
        std::vector<std::vector<crash_report>> crashes;
        s a;
        s b;
        bool a_on_probation;
        bool b_on_probation;
    };
    const row rows[] = {
        {"one crash",
         {{report("a1", 1), report("b1", 1)}},
         s::hit,
         s::hit,
         false,
         false},
        {"the same report twice",
         {{report("a1", 1)}, {report("a1", 1)}},
         s::hit,
         s::clear,
         false,
         false},
        {"two crashes with others accuse no route",
         {{report("a1", 1), report("b1", 1)},
          {report("a1", 2), report("c1", 2)}},
         s::suspect,
         s::hit,
         false,
         false},
        {"two crashes at which it had started last",
         {{report("a1", 1, false, true), report("b1", 1)},
          {report("a1", 2, false, true), report("c1", 2)}},
         s::suspect,
         s::hit,
         true,
         false},
        {"one crash alone",
         {{report("a1", 1, true)}},
         s::suspect,
         s::clear,
         true,
         false},
        {"a second crash alone",
         {{report("a1", 1), report("b1", 1)}, {report("a1", 2, true)}},
         s::proven,
         s::hit,
         true,
         false},
        {"three crashes",
         {{report("a1", 1)}, {report("a1", 2)}, {report("a1", 3)}},
         s::proven,
         s::clear,
         false,
         false},
        {"crashes that a route on probation explains",
         {{report("a2", 1, true)},
          {report("a3", 2), report("b1", 2)},
          {report("a4", 3), report("b1", 3)}},
         s::clear,
         s::hit,
         true,
         false}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        crash_history h;
        for (const auto& crash : it.crashes)
        {
            h.merge(crash, start);
        }
        CHECK(h.standing(task("a1"), start) == it.a);
        CHECK(h.standing(task("b1"), start) == it.b);
        CHECK(h.on_probation(route_name("a"), start) == it.a_on_probation);
        CHECK(h.on_probation(route_name("b"), start) == it.b_on_probation);
    }
}

TEST_CASE("crash_history: returns each report once, and a copy of the history "
          "judges alike")
{
    crash_history h;
    const std::vector<crash_report> crash{report("a1", 1), report("b1", 1)};
    CHECK(h.merge(crash, start).size() == 2);
    CHECK(h.merge(crash, start).empty());
    h.merge({report("a1", 2, true)}, start);
    crash_history copy;
    CHECK(copy.merge(h.reports(), start).size() == 3);
    CHECK(copy.standing(task("a1"), start) == crash_standing::proven);
    CHECK(copy.on_probation(route_name("a"), start));
}

TEST_CASE("crash_history: probation ends after ten seconds, memory after a "
          "minute, and it is bounded")
{
    crash_history h;
    h.merge({report("a1", 1, true)}, start);
    CHECK(h.has_probation(service_name("desk"), start + 9s));
    CHECK_FALSE(h.has_probation(service_name("other"), start + 9s));
    CHECK_FALSE(h.on_probation(route_name("a"), start + 10s));
    h.expire(start + 59s);
    CHECK(h.losses(task("a1")) == 1);
    h.expire(start + 61s);
    CHECK(h.losses(task("a1")) == 0);
    for (uint64_t i = 0; i < 5000; ++i)
    {
        h.merge({report("a" + std::to_string(i), i)}, start);
    }
    CHECK(h.reports().size() <= 4096);
}

TEST_CASE("select_probation_targets: takes a third of a service's targets, at "
          "least one, in any order")
{
    struct row
    {
        uint64_t targets;
        std::size_t selected;
    };
    const row rows[] = {{0, 0}, {1, 1},  {2, 1},  {3, 1},
                        {6, 2}, {11, 3}, {71, 24}};
    for (const auto& it : rows)
    {
        INFO(it.targets);
        std::vector<agent_incarnation> targets;
        for (uint64_t i = 0; i < it.targets; ++i)
        {
            targets.emplace_back(i);
        }
        const auto selected = select_probation_targets(targets);
        CHECK(selected.size() == it.selected);
        std::reverse(targets.begin(), targets.end());
        CHECK(select_probation_targets(targets) == selected);
    }
}

// Guards against a route whose tasks crash targets from the start, so that no
// target is left on which one of them could be seen to crash alone, and against
// accusing the route that has the most tasks when a rack is lost.
TEST_CASE(
    "crash_history: a series of crashes puts the route on probation whose "
    "tasks had started last")
{
    struct row
    {
        const char* name;
        std::vector<const char*> last; ///< job that started last, by loss
        duration gap;
        bool a_on_probation;
    };
    const row rows[] = {
        {"three of three", {"a1", "a2", "a3"}, 200ms, true},
        {"three of four", {"a1", "b1", "a2", "a3"}, 200ms, true},
        {"two", {"a1", "a2"}, 200ms, false},
        {"three of five", {"a1", "b1", "a2", "b2", "a3"}, 200ms, false},
        {"at the same moment", {"a1", "a2", "a3"}, 50ms, false},
        {"far apart", {"a1", "a2", "a3"}, 2s, false}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        crash_history h;
        auto now = start;
        uint64_t agent = 0;
        for (const auto* job : it.last)
        {
            ++agent;
            h.merge({report(job, agent, false, true), report("c1", agent)},
                    now);
            now += it.gap;
        }
        now -= it.gap;
        CHECK(h.on_probation(route_name("a"), now) == it.a_on_probation);
        CHECK_FALSE(h.on_probation(route_name("b"), now));
        CHECK_FALSE(h.on_probation(route_name("c"), now));
    }
}

// Guards against a harmful route that is recognised only after most targets are
// gone, and against a harmless route that is accused in its place.
TEST_CASE("crash_history: early evidence puts the route of the cause on "
          "probation, and no other")
{
    const auto of_task = [](crash_report r, uint32_t index)
    {
        r.task.index = index;
        return r;
    };
    const auto silent = [](crash_report r)
    {
        r.confirmed = false;
        return r;
    };
    struct row
    {
        const char* name;
        std::vector<std::vector<crash_report>> crashes;
        bool a_on_probation;
        bool b_on_probation;
    };
    const row rows[] = {
        {"the only task at both crashes, last at one",
         {{report("a1", 1, false, true), report("b1", 1)},
          {report("a1", 2), report("b2", 2, false, true)}},
         false,
         false},
        {"the same, and targets only went silent",
         {{silent(report("a1", 1, false, true)), report("b1", 1)},
          {silent(report("a1", 2)), report("b2", 2)}},
         false,
         false},
        {"two tasks were sent on together",
         {{report("a1", 1, false, true), report("b1", 1)},
          {report("a1", 2), report("b1", 2, false, true)}},
         false,
         false},
        {"the only one at both, but never last",
         {{report("a1", 1), report("b1", 1, false, true)},
          {report("a1", 2), report("b2", 2, false, true)}},
         false,
         false},
        {"last at two crashes, with the same task of another route at both",
         {{report("b1", 1, false, true), report("a1", 1)},
          {report("b1", 2, false, true), report("a1", 2)}},
         false,
         false},
        {"started at about the same time as a task of another route",
         {{report("b1", 1, false, true), report("a1", 1, false, true)},
          {report("b1", 2, false, true), report("a2", 2, false, true)},
          {report("b2", 3, false, true), report("a3", 3, false, true)},
          {report("b3", 4, false, true), report("a4", 4, false, true)}},
         false,
         false},
        {"tasks of one job last at three crashes at once",
         {{of_task(report("a1", 1, false, true), 0), report("b1", 1),
           of_task(report("a1", 2, false, true), 1), report("b2", 2),
           of_task(report("a1", 3, false, true), 2), report("b3", 3)}},
         true,
         false},
        {"tasks of one job last at two crashes at once",
         {{of_task(report("a1", 1, false, true), 0), report("b1", 1),
           of_task(report("a1", 2, false, true), 1), report("b2", 2)}},
         false,
         false},
        {"last at two crashes that a route on probation explains",
         {{report("a1", 1, true)},
          {report("a2", 2), report("b1", 2, false, true)},
          {report("a3", 3), report("b1", 3, false, true)}},
         true,
         false}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        crash_history h;
        auto now = start;
        for (const auto& crash : it.crashes)
        {
            h.merge(crash, now);
            now += 100ms;
        }
        CHECK(h.on_probation(route_name("a"), now) == it.a_on_probation);
        CHECK(h.on_probation(route_name("b"), now) == it.b_on_probation);
    }
}
