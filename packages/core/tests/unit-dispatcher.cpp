#include <agatebank/core/dispatcher.hpp>
#include <agatebank/core/error.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{};
const service_name booking("pall-booking");
const service_name printing("ticket-print");

target_offer offer(uint64_t agent,
                   std::vector<service_name> services = {booking})
{
    target_offer out;
    out.agent = agent_incarnation(agent);
    out.target = target_name("t" + std::to_string(agent));
    out.services = std::move(services);
    out.slots = 4;
    return out;
}

job_request job(uint64_t key, std::size_t tasks, duration wait = 10s,
                duration run = 100ms)
{
    job_request out;
    out.key = job_key(key);
    out.service = booking;
    out.caller = caller_name("hall");
    out.wait = wait;
    out.tasks.assign(tasks, {run});
    return out;
}

// Records offers, grants and starts, and checks each assignment against them.
struct observer
{
    std::map<agent_incarnation, target_offer> targets;
    std::map<agent_incarnation, unsigned> grants;
    std::map<agent_incarnation, std::set<task_ref>> in_flight;
    std::set<task_ref> started; // except those reported as not run
    std::set<job_key> removed;

    void check(const std::vector<assignment>& out)
    {
        for (const auto& it : out)
        {
            RC_ASSERT(targets.count(it.agent) == 1);
            RC_ASSERT(targets.at(it.agent).accepts_work);
            const auto& services = targets.at(it.agent).services;
            RC_ASSERT(std::count(services.begin(), services.end(), booking));
            RC_ASSERT(started.insert(it.task).second);
            RC_ASSERT(removed.count(it.task.job) == 0);
            auto& here = in_flight[it.agent];
            here.insert(it.task);
            RC_ASSERT(here.size() <= grants[it.agent]);
        }
    }
};

} // namespace

TEST_CASE(
    "dispatcher: starts no task twice, above the grant or at a wrong target")
{
    rc::prop(
        "any sequence of events",
        []
        {
            dispatcher d({});
            observer seen;
            auto now = start;
            uint64_t next_job = 0;
            const auto steps =
                *rc::gen::container<std::vector<std::pair<int, int>>>(
                    rc::gen::pair(rc::gen::inRange(0, 10),
                                  rc::gen::inRange(0, 600)));
            for (const auto& [kind, which] : steps)
            {
                now += 20ms;
                const agent_incarnation agent(which % 4);
                auto& running = seen.in_flight[agent];
                const auto running_task =
                    running.empty()
                        ? task_ref{}
                        : *std::next(running.begin(), which % running.size());
                if (kind < 2)
                {
                    auto o =
                        offer(agent.value(),
                              {kind == 0 || which % 5 ? booking : printing});
                    o.accepts_work = which % 7 != 0;
                    seen.targets[agent] = o;
                    d.put_target(o, now);
                    seen.grants[agent] = which / 10 % 5;
                    d.set_grant(agent, seen.grants[agent]);
                }
                else if (kind < 5)
                {
                    d.admit(job(next_job++, 1 + which % 5), now);
                }
                else if (kind == 5 && which % 3 == 0)
                {
                    const auto returned = d.remove_target(agent);
                    RC_ASSERT(std::set<task_ref>(returned.begin(),
                                                 returned.end()) == running);
                    running.clear();
                    seen.targets.erase(agent);
                }
                else if (kind == 6 && next_job > 0)
                {
                    const job_key key(which % next_job);
                    d.remove_job(key);
                    seen.removed.insert(key);
                }
                else if (kind == 7 && !running.empty())
                {
                    d.on_not_run(running_task, agent, now);
                    running.erase(running_task);
                    seen.started.erase(running_task);
                }
                else if (!running.empty())
                {
                    const auto outcome = which % 4 == 0
                                             ? task_outcome::failed
                                             : task_outcome::answered;
                    d.on_outcome(running_task, agent, outcome, 100ms, now);
                    d.on_outcome(running_task, agent, outcome, 100ms, now);
                    running.erase(running_task);
                }
                seen.check(d.assign(now));
                std::size_t total = 0;
                for (const auto& [a, tasks] : seen.in_flight)
                {
                    total += tasks.size();
                    RC_ASSERT(seen.targets.count(a) == 0 ||
                              d.demand(a, now).in_flight == tasks.size());
                }
                RC_ASSERT(d.in_flight_tasks() == total);
                RC_ASSERT(d.waiting_tasks() ==
                          d.waiting_tasks(caller_name("hall")));
            }
        });
}

// Admission is exact under these conditions: one entry, one service, targets
// of equal speed with fixed credits and no delay, correct declared run times,
// no failures and no cancellations. A job admitted then must never miss its
// deadline.
TEST_CASE(
    "dispatcher: admitted jobs end in time if declared run times are correct")
{
    rc::prop(
        "any sequence of arrivals",
        []
        {
            dispatch_options options;
            options.learned_run_times = false;
            dispatcher d(options);
            for (uint64_t i = 0; i < 2; ++i)
            {
                d.put_target(offer(i), start);
                d.set_grant(agent_incarnation(i), 4);
            }
            using ending = std::tuple<time_point, task_ref, agent_incarnation>;
            std::set<ending> endings;
            std::map<job_key, time_point> deadlines;
            std::map<job_key, std::vector<task_request>> tasks;
            const auto begin = [&](time_point now)
            {
                for (const auto& it : d.assign(now))
                {
                    const auto run = *tasks.at(it.task.job)
                                          .at(it.task.task.value())
                                          .declared_run_time;
                    endings.insert({now + run, it.task, it.agent});
                }
            };
            const auto run_until = [&](time_point until)
            {
                while (!endings.empty() &&
                       std::get<0>(*endings.begin()) <= until)
                {
                    const auto [at, task, agent] = *endings.begin();
                    endings.erase(endings.begin());
                    RC_ASSERT(at <= deadlines.at(task.job));
                    d.on_outcome(task, agent, task_outcome::answered, 1ms, at);
                    begin(at);
                }
            };
            const auto arrivals =
                *rc::gen::container<std::vector<std::array<int, 4>>>(
                    rc::gen::container<std::array<int, 4>>(
                        rc::gen::inRange(0, 1000)));
            auto now = start;
            for (uint64_t i = 0; i < arrivals.size(); ++i)
            {
                const auto& a = arrivals[i];
                now += std::chrono::milliseconds(a[0] / 10);
                run_until(now);
                constexpr std::array<duration, 3> waits{1s, 3s, 10s};
                auto j = job(i, 1 + a[1] % 40, waits[a[2] % 3]);
                j.never_delay = a[2] % 10 == 0;
                for (std::size_t k = 0; k < j.tasks.size(); ++k)
                {
                    j.tasks[k].declared_run_time =
                        std::chrono::milliseconds(50 + (a[3] * (k + 1)) % 900);
                }
                const auto got = d.admit(j, now);
                if (!got.refusal)
                {
                    deadlines[j.key] = got.deadline;
                    tasks[j.key] = j.tasks;
                }
                begin(now);
            }
            run_until(now + 100s);
            RC_ASSERT(d.waiting_tasks() == 0);
            RC_ASSERT(d.in_flight_tasks() == 0);
        });
}

TEST_CASE("dispatcher: admits only jobs that can end in time")
{
    struct row
    {
        const char* name;
        std::size_t queued; // waiting tasks of 100 ms
        job_request asked;
        bool admitted;
    };
    auto urgent = job(9, 1, 1s);
    urgent.never_delay = true;
    auto unknown = job(9, 1);
    unknown.service = printing;
    const row rows[] = {
        {"idle", 0, job(9, 1, 1s), true},
        {"run time above the wait", 0, job(9, 1, 1s, 2s), false},
        {"no target serves it", 0, unknown, false},
        {"no tasks", 0, job(9, 0), false},
        {"queue of equal waits too long", 360, job(9, 60), false},
        {"shorter wait is served first", 300, job(9, 1, 1s), true},
        {"would delay an admitted job past its deadline", 370, job(9, 10, 1s),
         false},
        {"never_delay is served before all others", 300, urgent, true},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            dispatch_options options;
            options.learned_run_times = false;
            dispatcher d(options);
            d.put_target(offer(1), start);
            d.set_grant(agent_incarnation(1), 4);
            if (r.queued > 0)
            {
                REQUIRE(!d.admit(job(1, r.queued), start).refusal);
            }
            const auto got = d.admit(r.asked, start);
            CHECK(!got.refusal == r.admitted);
            CHECK((got.retry_after > 0s) ==
                  (got.refusal == errc::wait_unattainable));
        }
    }
}

TEST_CASE("dispatcher: a reserved slot is given only to its service")
{
    dispatcher d({});
    auto o = offer(1, {booking, printing});
    o.reserved = {{printing, 1}};
    d.put_target(o, start);
    d.set_grant(agent_incarnation(1), 4);
    d.admit(job(1, 10), start);
    CHECK(d.assign(start).size() == 3);
    auto print = job(2, 2);
    print.service = printing;
    d.admit(print, start);
    CHECK(d.assign(start).size() == 1);
}

TEST_CASE("dispatcher: a refused start is retried only after the back-off")
{
    dispatcher d({});
    d.put_target(offer(1), start);
    d.set_grant(agent_incarnation(1), 4);
    d.admit(job(1, 1), start);
    const auto first = d.assign(start);
    REQUIRE(first.size() == 1);
    d.on_not_run(first[0].task, first[0].agent, start);
    CHECK(d.assign(start).empty());
    CHECK(d.waiting_tasks() == 1);
    CHECK(d.assign(start + 1s).size() == 1);
}

TEST_CASE("dispatcher: removing an overdue job keeps its running task's credit")
{
    dispatcher d({});
    d.put_target(offer(1), start);
    d.set_grant(agent_incarnation(1), 1);
    d.admit(job(1, 3), start);
    d.admit(job(2, 1, 20s), start);
    CHECK(d.assign(start).size() == 1);
    CHECK(d.overdue(start + 9s).empty());
    CHECK(d.overdue(start + 10s) == std::vector<job_key>{job_key(1)});
    const auto running = d.remove_job(job_key(1));
    REQUIRE(running.size() == 1);
    CHECK(d.overdue(start + 10s).empty());
    CHECK(d.waiting_tasks() == 1);
    CHECK(d.in_flight_tasks() == 1);
    CHECK(d.assign(start).empty());
    d.on_outcome(running[0].task, running[0].agent, task_outcome::answered,
                 100ms, start + 1s);
    CHECK(d.assign(start + 1s).size() == 1);
}

TEST_CASE("dispatcher: a failing target is ejected, probed and reinstated")
{
    dispatch_options options;
    options.learned_run_times = false;
    dispatcher d(options);
    const agent_incarnation failing(3);
    for (uint64_t i = 1; i <= 3; ++i)
    {
        d.put_target(offer(i), start);
        d.set_grant(agent_incarnation(i), 4);
    }
    uint64_t key = 0;
    // Runs jobs one after the other. The failing target fails its tasks if
    // `fails` is set and answers them otherwise.
    // @return number of tasks started at the failing target
    const auto run_jobs =
        [&](int jobs, std::size_t tasks, bool fails, time_point now)
    {
        std::size_t at_failing = 0;
        for (int i = 0; i < jobs; ++i)
        {
            d.admit(job(key, tasks), now);
            for (const auto& it : d.assign(now))
            {
                at_failing += it.agent == failing;
                d.on_outcome(it.task, it.agent,
                             it.agent == failing && fails
                                 ? task_outcome::failed
                                 : task_outcome::answered,
                             100ms, now);
            }
            d.remove_job(job_key(key++));
        }
        return at_failing;
    };
    CHECK(run_jobs(20, 1, true, start) == 3);
    CHECK(d.is_ejected(failing, start));
    CHECK(run_jobs(5, 10, true, start) == 0);
    // after the ejection period only a small job of the longest wait probes
    CHECK(run_jobs(5, 10, true, start + 2s) == 0);
    CHECK(run_jobs(5, 1, true, start + 2s) == 1);
    CHECK(d.is_ejected(failing, start + 2s));
    // no such job arrived for 3 s: any job probes
    CHECK(run_jobs(5, 10, false, start + 20s) > 4);
    CHECK_FALSE(d.is_ejected(failing, start + 20s));
}

TEST_CASE("dispatcher: shortest waits get fast targets, longer waits slow ones")
{
    dispatcher d({});
    const agent_incarnation slow(1);
    const agent_incarnation middle(2);
    const agent_incarnation fast(3);
    const std::map<agent_incarnation, duration> run_times{
        {slow, 400ms}, {middle, 200ms}, {fast, 100ms}};
    for (const auto& [agent, run_time] : run_times)
    {
        d.put_target(offer(agent.value()), start);
        d.set_grant(agent, 4);
    }
    auto now = start;
    uint64_t key = 1000;
    const auto start_of = [&](duration wait)
    {
        d.admit(job(key, 1, wait), now);
        const auto out = d.assign(now);
        ++key;
        return out.empty() ? agent_incarnation() : out[0].agent;
    };
    for (int i = 0; i < 100; ++i) // lets the dispatcher learn the speeds
    {
        d.admit(job(2 * i, 1, 20s), now);
        d.admit(job(2 * i + 1, 12, 60s), now);
        for (const auto& it : d.assign(now))
        {
            d.on_outcome(it.task, it.agent, task_outcome::answered,
                         run_times.at(it.agent), now);
        }
        d.remove_job(job_key(2 * i));
        d.remove_job(job_key(2 * i + 1));
        now += 100ms;
    }
    REQUIRE(d.speed(fast) > 1.5 * d.speed(middle));
    REQUIRE(d.speed(middle) > 1.5 * d.speed(slow));
    CHECK(start_of(20s) == fast);
    for (int i = 0; i < 2; ++i)
    {
        CHECK(start_of(60s) == slow);
    }
    CHECK(start_of(20s) == fast);
    CHECK(start_of(20s) == fast);
    for (int i = 0; i < 2; ++i)
    {
        CHECK(start_of(60s) == slow);
    }
    for (int i = 0; i < 4; ++i)
    {
        CHECK(start_of(60s) == middle);
    }
    CHECK(start_of(60s) == agent_incarnation()); // last fast credit is kept
    CHECK(start_of(20s) == fast);
}

// Guards against one caller whose tasks crash the targets that start them: its
// jobs would take every target from all other callers. 2 jobs a second, each
// with one crash of 3 s, are 6 targets of 6.
TEST_CASE("dispatcher: other callers are served while the tasks of one caller "
          "crash their targets")
{
    constexpr uint64_t targets = 6;
    dispatcher d({});
    auto now = start + 1h;
    std::map<agent_incarnation, time_point> away_until;
    std::map<agent_incarnation, std::map<task_ref, time_point>> running;
    std::set<job_key> harmful;
    std::map<job_key, int> unanswered;
    std::size_t answered = 0;
    std::size_t most_away = 0;
    const auto set_target = [&](agent_incarnation agent, bool accepts_work)
    {
        auto o = offer(agent.value());
        o.accepts_work = accepts_work;
        d.put_target(o, now);
        d.set_grant(agent, accepts_work ? 4 : 0);
    };
    for (uint64_t i = 0; i < targets; ++i)
    {
        set_target(agent_incarnation(i), true);
    }
    const auto lose = [&](agent_incarnation agent)
    {
        away_until[agent] = now + 3s;
        set_target(agent, false);
        for (const auto& [task, end] : std::exchange(running[agent], {}))
        {
            d.on_outcome(task, agent, task_outcome::target_lost, 10ms, now);
            d.remove_job(task.job);
            unanswered.erase(task.job);
        }
    };
    uint64_t last = 0;
    std::set<job_key> others; // without those of the first and last second
    for (int step = 0; step < 800; ++step, now += 10ms)
    {
        if (step % 50 == 0)
        {
            auto j = job(++last, 8, 2s, 50ms);
            j.caller = caller_name("harmful");
            if (!d.admit(j, now).refusal)
            {
                harmful.insert(j.key);
            }
        }
        if (step % 10 == 5)
        {
            const auto j = job(++last, 2, 1s, 50ms);
            if (step >= 100 && step < 700)
            {
                others.insert(j.key);
            }
            if (!d.admit(j, now).refusal)
            {
                unanswered[j.key] = 2;
            }
        }
        for (const auto& it : d.assign(now))
        {
            running[it.agent][it.task] = now + 50ms;
        }
        for (auto& [agent, tasks] : running)
        {
            for (const auto& [task, end] : std::map(tasks))
            {
                if (harmful.count(task.job) != 0)
                {
                    lose(agent);
                    break;
                }
                if (end <= now)
                {
                    tasks.erase(task);
                    d.on_outcome(task, agent, task_outcome::answered, 50ms,
                                 now);
                    if (--unanswered[task.job] == 0)
                    {
                        d.remove_job(task.job);
                        answered += others.count(task.job);
                    }
                }
            }
        }
        for (const auto key : d.overdue(now))
        {
            d.remove_job(key);
        }
        std::size_t away = 0;
        for (auto it = away_until.begin(); it != away_until.end();)
        {
            if (it->second <= now)
            {
                set_target(it->first, true);
                it = away_until.erase(it);
                continue;
            }
            ++away;
            ++it;
        }
        most_away = std::max(most_away, away);
    }
    CHECK(answered == others.size());
    CHECK(most_away < targets);
}
