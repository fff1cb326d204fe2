#include <agatebank/core/probation_targets.hpp>
#include <agatebank/fleet/job_scheduler.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

evacuation_state state(uint64_t version, const std::set<std::string>& names)
{
    std::set<failure_domain_name> domains;
    for (const auto& it : names)
    {
        domains.insert(failure_domain_name(it));
    }
    return {evacuation_version(version), domains};
}

target_profile profile(const std::string& domain, int64_t cpu_millis = 4000,
                       std::vector<std::string> labels = {})
{
    target_profile p;
    p.target = domain;
    p.service = service_name("desk");
    p.failure_domain = failure_domain_name(domain);
    p.capacity = {cpu_millis, 65536, 0};
    p.labels = std::move(labels);
    return p;
}

target_load accepting()
{
    target_load l;
    l.accepts_work = true;
    return l;
}

// An entry with one target in each of the domains a, b and c.
struct entry_fixture
{
    std::vector<std::pair<agent_incarnation, run_batch>> sent;
    std::map<uint64_t, job_outcome> answers;
    time_point now = start;
    uint64_t last_key = 0;
    job_scheduler scheduler{
        {1100ms, 1, start, {}},
        {[this](agent_incarnation a, const run_batch& b)
         { sent.emplace_back(a, b); },
         [](agent_incarnation, const std::vector<order_id>&) {},
         [this](job_key k, const job_outcome& o) { answers[k.value()] = o; },
         [](const log_record&) {
         }}};

    entry_fixture()
    {
        uint64_t agent = 0;
        for (const char* it : {"a", "b", "c"})
        {
            const agent_incarnation id(++agent);
            scheduler.put_target(id, profile(it), now);
            scheduler.set_load(id, accepting(), now);
        }
    }

    uint64_t admit(uint32_t tasks)
    {
        job_submission s;
        s.id = "job" + std::to_string(++last_key);
        s.matched_route.name = route_name("r");
        s.matched_route.service = service_name("desk");
        s.matched_route.max_attempts = 2;
        s.matched_route.stretch = 1.6;
        s.matched_route.added_latency = 60ms;
        step_plan step;
        step.tasks = tasks;
        step.task_resources = {1000, 10, 0};
        step.declared_run_time = 60ms;
        s.plan.steps = {step};
        s.deadline = 2s;
        scheduler.admit(job_key(last_key), std::move(s), now);
        return last_key;
    }

    void evacuate(uint64_t version, const std::set<std::string>& names)
    {
        scheduler.set_evacuation(state(version, names), "test");
        scheduler.tick(now);
    }

    std::set<uint64_t> agents() const
    {
        std::set<uint64_t> out;
        for (const auto& [agent, batch] : sent)
        {
            out.insert(agent.value());
        }
        return out;
    }
};

} // namespace

// Guards against work on a target whose agent does not know of the evacuation
// yet and reports that it accepts work, and against a target that stays away
// after the evacuation.
TEST_CASE("evacuated_targets: reports of an agent don't end an evacuation")
{
    target_map targets;
    evacuated_targets evacuated;
    auto& t = targets.emplace(agent_incarnation(1), profile("a")).first->second;
    t.set_load(accepting());
    CHECK(evacuated.merge(state(5, {"a"}), targets));
    CHECK_FALSE(t.load().accepts_work);
    t.set_load(accepting());
    CHECK_FALSE(t.load().accepts_work);
    CHECK(agents_of(targets, service_name("desk")).empty());
    CHECK(count_evacuated(targets) == 1);
    CHECK_FALSE(evacuated.merge(state(4, {}), targets));
    CHECK_FALSE(t.load().accepts_work);
    CHECK(evacuated.merge(state(6, {}), targets));
    CHECK(t.load().accepts_work);
    CHECK(count_evacuated(targets) == 0);
}

// Guards against jobs that wait until their deadline for a target that is
// evacuated, and against ending jobs that another target can run.
TEST_CASE("evacuated_targets: tells whether a step has a target left")
{
    struct row
    {
        const char* what;
        std::set<std::string> evacuated;
        int64_t cpu_millis;
        const char* label;
        const char* service;
        bool none_left;
    };
    const row rows[] = {
        {"nothing evacuated", {}, 1000, "", "desk", false},
        {"one domain left", {"a"}, 1000, "", "desk", false},
        {"all evacuated", {"a", "b"}, 1000, "", "desk", true},
        {"too large for the domain left", {"a"}, 3000, "", "desk", true},
        {"label only in the evacuated domain", {"a"}, 1000, "x", "desk", true},
        {"too large for all", {"a"}, 9000, "", "desk", false},
        {"no target of the service", {"a", "b"}, 1000, "", "other", false},
    };
    for (const auto& it : rows)
    {
        INFO(it.what);
        target_map targets;
        targets.emplace(agent_incarnation(1), profile("a", 4000, {"x"}));
        targets.emplace(agent_incarnation(2), profile("b", 2000));
        evacuated_targets evacuated;
        evacuated.merge(state(5, it.evacuated), targets);
        step_plan step;
        step.task_resources = {it.cpu_millis, 10, 0};
        step.required_label = it.label;
        CHECK(evacuated.leave_no_target(targets, service_name(it.service),
                                        step) == it.none_left);
    }
}

// Guards against orders to an evacuated domain, and against admission that
// counts its capacity.
TEST_CASE("evacuated_targets: jobs are placed on the remaining domains")
{
    struct row
    {
        const char* what;
        std::set<std::string> evacuated;
        std::set<uint64_t> used;
        bool admitted;
    };
    const row rows[] = {{"none", {}, {1, 2, 3}, true},
                        {"an unknown domain", {"x"}, {1, 2, 3}, true},
                        {"one", {"b"}, {1, 3}, true},
                        {"two", {"b", "c"}, {1}, true},
                        {"all", {"a", "b", "c"}, {}, false}};
    for (const auto& it : rows)
    {
        INFO(it.what);
        entry_fixture f;
        f.evacuate(5, it.evacuated);
        const auto job = f.admit(12);
        CHECK(f.agents() == it.used);
        CHECK((f.answers.count(job) == 0) == it.admitted);
        if (!it.admitted)
        {
            CHECK(f.answers.at(job).result == job_result::not_run);
            CHECK(f.answers.at(job).retry_after == 1s);
        }
        // A target that connects later is treated alike.
        f.scheduler.put_target(agent_incarnation(4), profile("b"), f.now);
        f.scheduler.set_load(agent_incarnation(4), accepting(), f.now);
        const auto& added = f.scheduler.targets().at(agent_incarnation(4));
        CHECK(added.load().accepts_work == (it.evacuated.count("b") == 0));
    }
}

// Guards against a job that waits until its deadline after the last domain that
// could run it was evacuated, and against an untrue answer of "not run".
TEST_CASE("evacuated_targets: jobs whose orders are returned end at once when "
          "no domain is left")
{
    struct row
    {
        const char* what;
        std::optional<run_outcome> first;
        job_result result;
    };
    const row rows[] = {
        {"none has run", run_outcome::not_run, job_result::not_run},
        {"one is done", run_outcome::done, job_result::abandoned},
        {"one is active", {}, job_result::abandoned},
        {"one was stopped", run_outcome::stopped, job_result::abandoned}};
    for (const auto& it : rows)
    {
        INFO(it.what);
        entry_fixture f;
        const auto job = f.admit(3);
        const auto sent = f.sent;
        f.evacuate(5, {"a", "b", "c"});
        CHECK(f.answers.empty()); // the orders may still run to their end
        bool first = true;
        for (const auto& [agent, batch] : sent)
        {
            for (const auto& o : batch.orders)
            {
                const auto outcome = first && it.first ? *it.first
                                     : first           ? run_outcome::done
                                                       : run_outcome::not_run;
                if (!first || it.first)
                {
                    f.scheduler.on_end(agent, {o.id, outcome, 0, 0}, f.now);
                }
                first = false;
            }
        }
        f.scheduler.tick(f.now);
        REQUIRE(f.answers.count(job) == 1);
        CHECK(f.answers.at(job).result == it.result);
        CHECK(f.sent.size() == sent.size());
    }
}

// Guards against suspect tasks that wait for probation targets in an evacuated
// domain.
TEST_CASE("evacuated_targets: probation targets are among the remaining ones")
{
    entry_fixture f;
    for (const char* it : {"a", "b", "c"})
    {
        INFO(it);
        static uint64_t version = 0;
        f.evacuate(++version, {it});
        const auto agents =
            agents_of(f.scheduler.targets(), service_name("desk"));
        CHECK(agents.size() == 2);
        for (const auto agent : select_probation_targets(agents))
        {
            CHECK_FALSE(f.scheduler.targets().at(agent).is_evacuated());
        }
    }
}
