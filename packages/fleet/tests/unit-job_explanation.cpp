#include <agatebank/core/duration_math.hpp>
#include <agatebank/core/probation_targets.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <tuple>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
const route_name usual_route("r");

// Step, task and agent of an order.
using placed_order = std::tuple<uint32_t, uint32_t, agent_incarnation>;

struct scheduler_fixture
{
    explicit scheduler_fixture(duration discovery_window = {})
        : scheduler({1100ms, 2, start, discovery_window}, hooks())
    {
    }

    std::vector<placed_order> sent; ///< since the last submission
    std::vector<std::pair<agent_incarnation, order_id>> open;
    std::map<job_key, job_outcome> answers;
    std::vector<std::string> lines;
    time_point now = start + 1h;
    uint64_t last_key = 0;
    uint64_t losses = 0;
    job_scheduler scheduler;

    job_scheduler_hooks hooks()
    {
        return {[this](agent_incarnation a, const run_batch& b)
                {
                    for (const auto& it : b.orders)
                    {
                        sent.emplace_back(it.step, it.index, a);
                        open.emplace_back(a, it.id);
                    }
                },
                [](agent_incarnation, const std::vector<order_id>&) {},
                [this](job_key k, const job_outcome& o) { answers[k] = o; },
                [this](const log_record& r)
                {
                    lines.push_back(r.step + " " + r.text);
                }};
    }

    void load(uint64_t agent, int64_t used, int64_t queued = 0,
              bool suspect = false, double slowdown = 1,
              duration mean_run = 60ms)
    {
        target_load l;
        l.accepts_work = true;
        l.used.cpu_millis = used;
        l.queued_cpu_millis[0] = queued;
        l.mean_run_us = mean_run.count();
        l.suspect = suspect;
        l.slowdown = slowdown;
        l.last_order_received = open.empty() ? 0 : open.back().second.value();
        scheduler.set_load(agent_incarnation(agent), l, now);
    }

    // Targets in two racks and two failure domains.
    void add_targets(uint64_t n, int64_t used = 0, int64_t queued = 0)
    {
        for (uint64_t i = 1; i <= n; ++i)
        {
            target_profile p;
            p.target = "t" + std::to_string(i);
            p.service = service_name("desk");
            p.capacity = {16000, 65536, 0};
            p.kind = "k";
            p.failure_domain = failure_domain_name(i % 2 == 0 ? "z2" : "z1");
            p.labels = {i % 2 == 0 ? "far" : "near"};
            scheduler.put_target(agent_incarnation(i), p, now);
            load(i, used, queued);
        }
    }

    job_submission job(uint32_t tasks, const char* rack = "",
                       const std::string& id = {}) const
    {
        job_submission out;
        out.id = id.empty() ? "job" + std::to_string(last_key + 1) : id;
        out.matched_route.name = usual_route;
        out.matched_route.service = service_name("desk");
        out.matched_route.max_attempts = 2;
        out.matched_route.stretch = 1.6;
        out.matched_route.added_latency = 60ms;
        step_plan s;
        s.tasks = tasks;
        s.task_resources = {1000, 10, 0};
        s.declared_run_time = 60ms;
        s.data_rack = rack;
        auto later = s;
        later.tasks = 2;
        later.after = {0};
        out.plan.steps = {s, later};
        out.deadline = 2s;
        return out;
    }

    job_key admit(job_submission submission)
    {
        const job_key key(++last_key);
        sent.clear();
        scheduler.admit(key, std::move(submission), now);
        return key;
    }

    void end_all(run_outcome outcome = run_outcome::done,
                 duration queued = duration(0))
    {
        while (!open.empty())
        {
            const auto [agent, id] = open.front();
            open.erase(open.begin());
            scheduler.on_end(agent, {id, outcome, 60'000, queued.count()}, now);
        }
    }

    // Loses the target of an agent while the first task of a job ran there.
    void lose(const std::string& job_id, uint64_t agent, bool isolated = false)
    {
        scheduler.on_crashes(
            {{{job_id, 0, 0},
              usual_route,
              service_name("desk"),
              {agent_incarnation(agent), loss_number(++losses)},
              isolated,
              true}},
            now);
    }

    // A service of full targets whose jobs have ended late.
    void overload()
    {
        add_targets(6);
        for (int i = 0; i < 12; ++i)
        {
            admit(job(2));
        }
        // The agents' queues explain the delay, so it is not the entry's own.
        now += 500ms;
        end_all(run_outcome::done, 440ms);
        end_all(run_outcome::done, 440ms);
        for (uint64_t i = 1; i <= 6; ++i)
        {
            load(i, 16000, 48000);
        }
    }
};

void evacuate(scheduler_fixture& f, std::set<failure_domain_name> domains)
{
    f.scheduler.set_evacuation({evacuation_version(1), std::move(domains)},
                               "the test");
}

std::vector<placed_order> placements(const job_explanation& e)
{
    std::vector<placed_order> out;
    for (const auto& it : e.tasks)
    {
        if (it.placement.chosen)
        {
            out.emplace_back(it.step, it.index, it.placement.chosen->agent);
        }
    }
    return out;
}

struct situation
{
    const char* name;
    std::function<void(scheduler_fixture&)> prepare;
    job_verdict verdict;
    uint32_t tasks = 8;
    const char* rack = "";
    const char* id = "";
    duration discovery_window{};
    bool first_task_alone = false;
    const char* text = ""; ///< in the reason or in the first task's locality
};

const std::vector<situation>& situations()
{
    using f = scheduler_fixture&;
    using v = job_verdict;
    static const std::vector<situation> out{
        {"calm", [](f s) { s.add_targets(6); }, v::admitted},
        {"uneven",
         [](f s)
         {
             s.add_targets(6, 8000);
             s.load(2, 0, 0, false, 3);
             s.load(3, 15000);
             s.load(4, 2000, 0, true);
         },
         v::admitted},
        {"crowded",
         [](f s) { s.add_targets(6, 16000, 90000); },
         v::admitted,
         16,
         "",
         "",
         {},
         false,
         "after the objective"},
        {"one domain evacuated",
         [](f s)
         {
             s.add_targets(6);
             evacuate(s, {failure_domain_name("z2")});
         },
         v::admitted},
        {"all domains evacuated",
         [](f s)
         {
             s.add_targets(6);
             evacuate(s,
                      {failure_domain_name("z1"), failure_domain_name("z2")});
         },
         v::evacuated},
        {"rack of the data busy for a short time",
         [](f s)
         {
             s.add_targets(6);
             for (uint64_t i : {1, 3, 5})
             {
                 s.load(i, 16000);
             }
         },
         v::admitted,
         2,
         "near",
         "",
         {},
         false,
         "waits near its data for up to"},
        {"rack of the data full",
         [](f s)
         {
             s.add_targets(6);
             for (uint64_t i : {1, 3, 5})
             {
                 s.load(i, 16000, 16000, false, 1, 900ms);
             }
         },
         v::admitted,
         2,
         "near",
         "",
         {},
         false,
         "runs away from its data"},
        {"route on probation",
         [](f s)
         {
             s.add_targets(6);
             s.lose("other", 10, true);
         },
         v::admitted,
         8,
         "",
         "",
         {},
         true},
        {"all probation targets taken",
         [](f s)
         {
             s.add_targets(6);
             s.lose("other", 10, true);
             while (s.answers.empty())
             {
                 s.admit(s.job(4));
             }
         },
         v::probation,
         4,
         "",
         "",
         {},
         true},
        {"task known to crash",
         [](f s)
         {
             s.add_targets(6);
             s.lose("bad", 1);
             s.lose("bad", 2, true);
             s.lose("bad", 3, true);
         },
         v::known_crash, 4, "", "bad"},
        {"overloaded", [](f s) { s.overload(); }, v::shed},
        {"too late to be useful", [](f s) { s.add_targets(6, 16000, 900'000); },
         v::useless},
        {"no target", [](f) {}, v::no_target},
        {"held after the start", [](f s) { s.now = start + 10ms; }, v::held, 8,
         "", "", 1s},
        {"id of a running job",
         [](f s)
         {
             s.add_targets(2);
             s.admit(s.job(2, "", "same"));
         },
         v::running, 8, "", "same"}};
    return out;
}

} // namespace

// Guards against an explanation that names another verdict, target or end than
// a submission at the same time then gets.
TEST_CASE("job_explanation: a submission does what was explained")
{
    for (const auto& it : situations())
    {
        INFO(it.name);
        scheduler_fixture f(it.discovery_window);
        it.prepare(f);
        const auto job = f.job(it.tasks, it.rack, it.id);
        const auto e = f.scheduler.explain(job, f.now);
        INFO(e.reason);
        CHECK(to_word(e.verdict) == std::string(to_word(it.verdict)));
        const auto text =
            e.reason +
            (e.tasks.empty() ? std::string() : e.tasks[0].placement.locality);
        CHECK(text.find(it.text) != std::string::npos);
        if (it.verdict == job_verdict::running)
        {
            CHECK(f.scheduler.find(job.id));
            continue;
        }
        const auto held = f.scheduler.held_jobs();
        const auto key = f.admit(job);
        CHECK(f.scheduler.held_jobs() - held ==
              (it.verdict == job_verdict::held ? 1 : 0));
        const bool refused = it.verdict != job_verdict::admitted &&
                             it.verdict != job_verdict::held;
        REQUIRE(f.answers.count(key) == (refused ? 1 : 0));
        if (refused)
        {
            CHECK(f.sent.empty());
            CHECK(f.answers[key].retry_after == e.retry_after);
            CHECK((f.answers[key].result == job_result::not_run) ==
                  (it.verdict != job_verdict::known_crash));
            CHECK(f.lines.back().find(e.reason) != std::string::npos);
        }
        if (it.verdict == job_verdict::admitted)
        {
            auto placed = placements(e);
            std::sort(placed.begin(), placed.end());
            std::sort(f.sent.begin(), f.sent.end());
            CHECK(placed == f.sent);
            CHECK_FALSE(placed.empty());
            CHECK(f.lines.back().find("expected to finish in " +
                                      to_ms_text(e.admission->expected_finish) +
                                      ", objective " +
                                      to_ms_text(e.admission->objective)) !=
                  std::string::npos);
            CHECK(e.startable_tasks + e.later_tasks == it.tasks + 2);
        }
    }
}

// Guards against an explanation that leaves a trace: an order, a learned value,
// a count or a log line that changes what comes after it.
TEST_CASE("job_explanation: changes nothing")
{
    for (const auto& it : situations())
    {
        INFO(it.name);
        scheduler_fixture plain(it.discovery_window);
        scheduler_fixture asked(it.discovery_window);
        std::mt19937 random(20261204);
        it.prepare(plain);
        it.prepare(asked);
        for (int i = 0; i < 40; ++i)
        {
            const auto tasks = 1 + static_cast<uint32_t>(random() % 24);
            const char* rack = random() % 2 == 0 ? "near" : "";
            const auto used = static_cast<int64_t>(random() % 24000);
            const auto queued = static_cast<int64_t>(random() % 60000);
            const bool ends = random() % 3 == 0;
            for (int k = 0; k < 3; ++k)
            {
                const auto job = asked.job(tasks, rack);
                asked.scheduler.explain(job, asked.now);
            }
            for (auto* f : {&plain, &asked})
            {
                f->admit(f->job(tasks, rack));
                f->now += 20ms;
                f->load(1 + static_cast<uint64_t>(i) % 6, used, queued);
                f->scheduler.tick(f->now);
                if (ends)
                {
                    f->end_all();
                }
            }
            REQUIRE(asked.sent == plain.sent);
        }
        CHECK(asked.lines == plain.lines);
        CHECK(asked.open == plain.open);
        CHECK(asked.scheduler.counts().admitted ==
              plain.scheduler.counts().admitted);
        CHECK(asked.scheduler.counts().orders ==
              plain.scheduler.counts().orders);
        CHECK(asked.scheduler.counts().shed == plain.scheduler.counts().shed);
    }
}

// Guards against output that grows with the targets or the tasks.
TEST_CASE("job_explanation: is bounded at 300 targets")
{
    scheduler_fixture f;
    f.add_targets(300, 4000);
    f.now += 30ms;
    const auto e = f.scheduler.explain(f.job(400, "near"), f.now);
    CHECK(e.verdict == job_verdict::admitted);
    CHECK(e.known_targets == 300);
    CHECK(e.startable_tasks == 400);
    CHECK(e.unplaced_tasks == 0);
    CHECK(e.later_tasks == 2);
    CHECK(e.reason.size() < 200);
    REQUIRE(e.tasks.size() == max_explained_tasks);
    for (const auto& it : e.tasks)
    {
        REQUIRE(it.placement.passed_over.size() == max_passed_over_targets);
        CHECK(it.placement.chosen->load_age == duration(30ms));
        CHECK_FALSE(it.placement.passed_over[0].decided_by.empty());
    }
}
