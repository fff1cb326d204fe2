#include <agatebank/fleet/ended_submissions.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

// Jobs that are submitted again at the entry that has ended them.

namespace
{

constexpr time_point start{1h};
constexpr duration grace = 1100ms;

struct sent_order
{
    agent_incarnation agent;
    run_order order;
};

// An entry with two targets.
struct readmission_fixture
{
    explicit readmission_fixture(std::size_t target_count = 2)
    {
        for (uint64_t i = 1; i <= target_count; ++i)
        {
            put_target(i);
        }
    }

    std::vector<sent_order> sent;
    std::map<uint64_t, job_outcome> answers;
    time_point now = start;
    uint64_t last_key = 0;
    job_scheduler scheduler{{grace, 1, start, {}}, hooks()};

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
                [this](job_key k, const job_outcome& o)
                { answers[k.value()] = o; },
                [](const log_record&) {
                }};
    }

    void put_target(uint64_t agent)
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

    // Submits the same job each time.
    uint64_t admit(const std::vector<uint32_t>& tasks_of_steps = {2},
                   duration run_time = 1s)
    {
        job_submission a;
        a.id = "job";
        a.matched_route.name = route_name("r");
        a.matched_route.service = service_name("desk");
        a.matched_route.max_attempts = 2;
        a.matched_route.stretch = 1.6;
        a.matched_route.added_latency = 60ms;
        for (const auto tasks : tasks_of_steps)
        {
            step_plan s;
            s.tasks = tasks;
            s.task_resources = {1000, 10, 0};
            s.declared_run_time = run_time;
            if (!a.plan.steps.empty())
            {
                s.after = {static_cast<uint32_t>(a.plan.steps.size() - 1)};
            }
            a.plan.steps.push_back(s);
        }
        a.deadline = 8s;
        scheduler.admit(job_key(++last_key), std::move(a), now);
        return last_key;
    }

    void end(std::size_t order, run_outcome outcome)
    {
        const auto it = sent.at(order);
        scheduler.on_end(it.agent, {it.order.id, outcome, 1'000'000, 0}, now);
    }

    void cancel(uint64_t key)
    {
        scheduler.cancel(job_key(key), "the caller left", now);
    }

    void pass(duration time)
    {
        now += time;
        scheduler.tick(now);
    }
};

} // namespace

// Guards against two runs of one task: a caller's leaving is noticed late, so
// the job is cancelled and admitted again at once, with orders to other targets
// while the stops of the first ones are under way.
TEST_CASE("readmitted job: a task that had an order waits until its run is "
          "over")
{
    struct row
    {
        const char* name;
        std::vector<run_outcome> ends; ///< of the first orders, in turn
        duration gap; ///< from the withdrawal to the next submission
        std::size_t at_once;
        std::size_t after_grace; ///< in sum
    };
    using o = run_outcome;
    const row rows[] = {
        {"two orders out", {}, 0ms, 0, 2},
        {"two orders out, some time later", {}, 1090ms, 0, 2},
        {"two orders out, after the grace", {}, 1100ms, 2, 2},
        {"one order out, one task done", {o::done}, 0ms, 1, 2},
        {"one order out, one repeated", {o::not_run}, 0ms, 0, 2},
    };
    for (const auto& it : rows)
    {
        INFO(it.name);
        readmission_fixture f;
        const auto first = f.admit();
        REQUIRE(f.sent.size() == 2);
        for (std::size_t i = 0; i < it.ends.size(); ++i)
        {
            f.end(i, it.ends[i]);
        }
        const auto withdrawn = f.now;
        f.cancel(first);
        f.sent.clear();
        f.pass(it.gap);
        const auto again = f.admit();
        CHECK(f.sent.size() == it.at_once);
        if (it.gap < grace)
        {
            f.pass(withdrawn + grace - 1ms - f.now);
            CHECK(f.sent.size() == it.at_once);
        }
        f.pass(1ms);
        CHECK(f.sent.size() == it.after_grace);
        for (std::size_t i = 0; i < f.sent.size(); ++i)
        {
            f.end(i, o::done);
        }
        REQUIRE(f.answers.count(again) == 1);
        CHECK(f.answers[again].result == job_result::succeeded);
    }
}

// Guards against the same after other ends of the first submission.
TEST_CASE("readmitted job: its tasks wait whatever ended the job")
{
    struct row
    {
        const char* name;
        std::function<void(readmission_fixture&, uint64_t)> end;
        duration wait; ///< from the end
    };
    const row rows[] = {
        {"the deadline",
         [](readmission_fixture& f, uint64_t) { f.pass(8s - 20ms); }, grace},
        {"a pause of the process",
         [](readmission_fixture& f, uint64_t)
         {
             f.now += 900ms;
             f.scheduler.abandon_all("paused", f.now);
         },
         grace},
        {"its caller, after the agents were lost",
         [](readmission_fixture& f, uint64_t key)
         {
             f.scheduler.remove_target(agent_incarnation(1), f.now);
             f.scheduler.remove_target(agent_incarnation(2), f.now);
             f.pass(300ms);
             f.cancel(key);
             f.put_target(3);
         },
         grace - 300ms},
        {"its caller, twice, while the second submission waits",
         [](readmission_fixture& f, uint64_t key)
         {
             f.cancel(key);
             f.pass(300ms);
             f.cancel(f.admit());
         },
         grace - 300ms},
    };
    for (const auto& it : rows)
    {
        INFO(it.name);
        readmission_fixture f;
        const auto first = f.admit();
        it.end(f, first);
        f.sent.clear();
        REQUIRE(f.scheduler.running_jobs() == 0);
        f.admit();
        f.pass(it.wait - 1ms);
        CHECK(f.sent.empty());
        f.pass(1ms);
        CHECK(f.sent.size() == 2);
    }
}

// Guards against a wait that covers the first step only: the second one starts
// sooner in the next submission than the stops of its runs take.
TEST_CASE("readmitted job: a task of a later step waits, too")
{
    readmission_fixture f;
    const auto first = f.admit({1, 1});
    f.end(0, run_outcome::done);
    REQUIRE(f.sent.size() == 2);
    f.cancel(first);
    f.sent.clear();
    f.admit({1, 1});
    REQUIRE(f.sent.size() == 1);
    f.pass(200ms);
    f.end(0, run_outcome::done);
    CHECK(f.sent.size() == 1);
    f.pass(grace - 201ms);
    CHECK(f.sent.size() == 1);
    f.pass(1ms);
    CHECK(f.sent.size() == 2);
}

// Guards against a job that waits until its deadline for an answer that is
// useless by then, and against "not run" for a job whose tasks run or have run.
TEST_CASE("readmitted job: a job that can't be served is answered at once, as "
          "abandoned if a task of it may have run here")
{
    struct row
    {
        const char* name;
        duration run_time;
        std::optional<run_outcome> end; ///< of the first order
        bool targets_lost;
        duration gap;
        std::optional<job_result> answer;
    };
    using o = run_outcome;
    const auto long_ago = ended_submissions::retention + 1ms;
    const row rows[] = {
        {"useful after the wait", 1s, {}, false, 0ms, {}},
        {"useless after the wait", 60ms, {}, false, 0ms, job_result::abandoned},
        {"wait is over", 60ms, {}, false, grace, {}},
        {"no target, order out", 1s, {}, true, 0ms, job_result::abandoned},
        {"no target, order out before",
         1s,
         {},
         true,
         4s,
         job_result::abandoned},
        {"no target, order out long ago",
         1s,
         {},
         true,
         long_ago,
         job_result::not_run},
        {"no target, run ended", 1s, o::failed, true, 0ms,
         job_result::abandoned},
        {"no target, run done", 1s, o::done, true, 0ms, job_result::abandoned},
        {"no target, order was refused", 1s, o::not_run, true, 0ms,
         job_result::not_run},
    };
    for (const auto& it : rows)
    {
        INFO(it.name);
        readmission_fixture f(1);
        const auto first = f.admit({1}, it.run_time);
        if (it.end == o::not_run)
        {
            // No target is left for the next order.
            f.scheduler.set_load(agent_incarnation(1), target_load(), f.now);
        }
        if (it.end)
        {
            f.end(0, *it.end);
        }
        f.cancel(first);
        if (it.targets_lost)
        {
            f.scheduler.remove_target(agent_incarnation(1), f.now);
        }
        f.pass(it.gap);
        const auto again = f.admit({1}, it.run_time);
        CHECK(f.answers.count(again) == (it.answer ? 1 : 0));
        if (it.answer && f.answers.count(again) != 0)
        {
            CHECK(f.answers[again].result == *it.answer);
        }
    }
}

// Guards against a request refused as not run while its job runs here from
// another request, or has just been given up.
TEST_CASE("readmitted job: whether its tasks may have run is known while it "
          "runs and some seconds after")
{
    readmission_fixture f;
    CHECK_FALSE(f.scheduler.may_have_run("job", f.now));
    const auto key = f.admit();
    CHECK(f.scheduler.may_have_run("job", f.now));
    f.cancel(key);
    f.pass(ended_submissions::retention);
    CHECK(f.scheduler.may_have_run("job", f.now));
    CHECK_FALSE(f.scheduler.may_have_run("other", f.now));
    f.pass(1us);
    CHECK_FALSE(f.scheduler.may_have_run("job", f.now));
}

// Guards against memory that grows with the rate of jobs, and against the loss
// of submissions that still matter.
TEST_CASE("ended_submissions: is bounded by time and size, the oldest go first")
{
    const std::size_t tasks = 63;
    const std::size_t max_jobs = ended_submissions::max_size / (tasks + 1);
    ended_submissions s;
    const auto put = [&s](std::size_t job, time_point now)
    {
        s.put(std::to_string(job), std::vector<stopping_task>(tasks), now);
    };
    for (std::size_t i = 0; i < 3 * max_jobs; ++i)
    {
        put(i, start + duration(i));
        REQUIRE(s.size() <= ended_submissions::max_size);
    }
    const auto now = start + duration(3 * max_jobs);
    CHECK(s.find(std::to_string(2 * max_jobs - 1), now) == nullptr);
    CHECK(s.find(std::to_string(2 * max_jobs), now) != nullptr);
    // One job again and again counts once.
    for (std::size_t i = 0; i < 3 * ended_submissions::max_size; ++i)
    {
        put(3 * max_jobs - 1, now);
    }
    CHECK(s.find(std::to_string(3 * max_jobs - 1), now) != nullptr);
    put(0, now + ended_submissions::retention + 1ms);
    CHECK(s.size() == tasks + 1);
}
