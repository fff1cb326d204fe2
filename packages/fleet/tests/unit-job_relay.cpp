#include <agatebank/fleet/job_relay.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <variant>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
const relay_peer_id link{7}; // the same id at both ends
constexpr uint64_t request = 11;

using sent_message = std::variant<relayed_job, relayed_outcome, relay_cancel>;

// One end of a link, with a fake in place of the entry's scheduler.
struct entry_end
{
    std::vector<sent_message> sent;
    std::map<uint64_t, job_submission> served;
    std::map<uint64_t, job_answer> answers;
    std::vector<uint64_t> abandoned;
    bool may_serve = true;
    job_relay relay{hooks()};

    job_relay_hooks hooks()
    {
        job_relay_hooks h;
        const auto keep = [this](relay_peer_id, const auto& m)
        {
            sent.emplace_back(m);
        };
        h.send_job = keep;
        h.send_outcome = keep;
        h.send_cancel = keep;
        h.may_serve = [this]
        {
            return may_serve;
        };
        h.serve = [this](uint64_t n, job_submission s, job_answer a)
        {
            served[n] = std::move(s);
            answers[n] = std::move(a);
        };
        h.abandon = [this](uint64_t n, const char*)
        {
            abandoned.push_back(n);
        };
        h.log = [](const log_record&) {
        };
        return h;
    }
};

struct relay_fixture
{
    entry_end first;
    entry_end second;
    std::vector<job_outcome> outcomes;
    time_point now = start;

    void relay(const std::string& id = "j", uint64_t number = request)
    {
        job_submission s;
        s.id = id;
        s.matched_route.name = route_name("short");
        s.matched_route.service = service_name("desk");
        s.matched_route.stretch = 1.6;
        s.matched_route.added_latency = 60ms;
        s.version = config_version(5);
        s.plan.payload = "x";
        s.plan.steps.resize(2);
        s.plan.steps[0].tasks = 8;
        s.plan.steps[0].declared_run_time = 60ms;
        s.plan.steps[0].data_rack = "r1";
        s.plan.steps[1].after = {0};
        s.deadline = 1500ms;
        s.spent = 3ms;
        first.relay.relay(link, number, s, answer(), now);
    }

    job_answer answer()
    {
        return [this](const job_outcome& o)
        {
            outcomes.push_back(o);
        };
    }

    // Delivers the messages under way.
    void deliver()
    {
        for (const auto& m : std::exchange(first.sent, {}))
        {
            if (const auto* job = std::get_if<relayed_job>(&m))
            {
                second.relay.on_job(link, *job);
            }
            else if (const auto* cancel = std::get_if<relay_cancel>(&m))
            {
                second.relay.on_cancel(link, *cancel);
            }
        }
        for (const auto& m : std::exchange(second.sent, {}))
        {
            first.relay.on_outcome(link, std::get<relayed_outcome>(m), now);
        }
    }

    uint64_t second_number() const
    {
        return second.served.rbegin()->first;
    }

    void end_at_second(job_result result, duration retry_after = {},
                       bool no_target = false)
    {
        second.answers.at(second_number())({result, retry_after, no_target});
    }
};

} // namespace

// Guards against a second entry that serves the job by its own configuration,
// or that grants the time which has passed at the first entry again.
TEST_CASE_METHOD(relay_fixture, "job_relay: the second entry gets the route, "
                                "the version and the time already spent")
{
    relay();
    deliver();
    REQUIRE(second.served.size() == 1);
    const auto& got = second.served.at(second_number());
    CHECK(job_relay::is_relay_request(second_number()));
    CHECK(got.id == "j");
    CHECK(got.version == config_version(5));
    CHECK(got.matched_route.name == route_name("short"));
    CHECK(got.matched_route.service == service_name("desk"));
    CHECK(got.matched_route.stretch == 1.6);
    CHECK(got.matched_route.added_latency == 60ms);
    CHECK(got.plan.payload == "x");
    REQUIRE(got.plan.steps.size() == 2);
    CHECK(got.plan.steps[0].tasks == 8);
    CHECK(got.plan.steps[0].data_rack == "r1");
    CHECK(got.plan.steps[0].declared_run_time == 60ms);
    CHECK(got.plan.steps[1].after == std::vector<uint32_t>{0});
    CHECK(got.spent == 3ms);
    CHECK(got.deadline < 1500ms);
    CHECK(got.deadline > 1400ms);
}

// Guards against "not run" for a job that may have run, and against any outcome
// that is lost or altered on its way.
TEST_CASE_METHOD(relay_fixture,
                 "job_relay: the caller gets the second entry's outcome")
{
    for (const auto result : {job_result::succeeded, job_result::failed,
                              job_result::not_run, job_result::abandoned})
    {
        relay();
        deliver();
        end_at_second(result, 2s);
        deliver();
        REQUIRE(outcomes.size() == 1);
        CHECK(outcomes[0].result == result);
        CHECK(outcomes[0].retry_after == 2s);
        CHECK(first.relay.size() == 0);
        CHECK_FALSE(second.relay.uses(link));
        CHECK(first.served.empty());
        outcomes.clear();
    }
}

// Guards against a caller that is refused although the first entry can serve
// it, and against a deadline that begins anew.
TEST_CASE_METHOD(relay_fixture,
                 "job_relay: a refused job is served by the first entry")
{
    for (const bool no_target : {false, true})
    {
        second.may_serve = no_target;
        relay();
        now += 10ms;
        deliver();
        if (no_target)
        {
            end_at_second(job_result::not_run, 1s, true);
            deliver();
        }
        REQUIRE(first.served.count(request) == 1);
        CHECK(outcomes.empty());
        CHECK(first.served.at(request).spent == 13ms);
        CHECK(first.served.at(request).deadline == 1490ms);
        CHECK_FALSE(first.relay.is_relayed("j"));
        first.served.clear();
    }
    relay();
    now += 1500ms; // no time left
    second.may_serve = false;
    deliver();
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0].result == job_result::not_run);
    CHECK(outcomes[0].retry_after == 1s);
}

// Guards against a caller that waits for a dead entry, and against "not run"
// for a job whose tasks the dead entry may have started.
TEST_CASE_METHOD(relay_fixture, "job_relay: the second entry dies")
{
    relay();
    deliver();
    relay("k", request + 1);
    first.relay.on_peer_lost(link);
    REQUIRE(outcomes.size() == 2);
    CHECK(outcomes[0].result == job_result::abandoned);
    CHECK(outcomes[1].result == job_result::abandoned);
    CHECK(first.served.empty());
    // An outcome that was under way is for nobody.
    end_at_second(job_result::succeeded);
    deliver();
    CHECK(outcomes.size() == 2);
}

// Guards against runs that go on when the caller submits its job again, 1.3 s
// after the first entry died.
TEST_CASE_METHOD(relay_fixture, "job_relay: the first entry dies")
{
    relay();
    deliver();
    second.relay.on_peer_lost(link);
    CHECK(second.abandoned == std::vector<uint64_t>{second_number()});
    end_at_second(job_result::succeeded);
    CHECK(second.sent.empty());
}

// Guards against runs that nobody waits for, and against a later job of the
// same id that gets the outcome of the cancelled one.
TEST_CASE_METHOD(relay_fixture, "job_relay: a cancel or a disconnect reaches "
                                "the second entry")
{
    const bool disconnects = GENERATE(true, false);
    relay();
    deliver();
    const auto number = second_number();
    end_at_second(job_result::not_run); // under way when the caller leaves
    CHECK(
        (disconnects ? first.relay.abandon(request) : first.relay.cancel("j")));
    CHECK(outcomes.size() == (disconnects ? 0 : 1));
    outcomes.clear();
    relay("j", request + 1);
    deliver();
    CHECK(outcomes.empty());
    CHECK(first.relay.is_relayed("j"));
    CHECK(first.relay.abandon(request + 1));
    deliver();
    CHECK(second_number() != number);
    CHECK(second.abandoned == std::vector<uint64_t>{second_number()});
    CHECK_FALSE(first.relay.abandon(request + 1));
    CHECK_FALSE(first.relay.cancel("j"));
}

// Guards against a second run of a job that its caller submits again.
TEST_CASE_METHOD(relay_fixture,
                 "job_relay: a repeated id attaches to the relayed job")
{
    relay();
    deliver();
    int answered = 0;
    job_answer again = [&answered](const job_outcome&)
    {
        ++answered;
    };
    CHECK(first.relay.attach("j", request + 1, again));
    CHECK(first.sent.empty());
    CHECK_FALSE(first.relay.abandon(request)); // the earlier connection closes
    end_at_second(job_result::succeeded);
    deliver();
    CHECK(answered == 1);
    CHECK(outcomes.empty());
    job_answer other = answer();
    CHECK_FALSE(first.relay.attach("j", request + 2, other));
    CHECK(other);
}

// Guards against a caller without an answer when the second entry hangs.
TEST_CASE_METHOD(relay_fixture, "job_relay: ends at the deadline or a stop")
{
    relay();
    deliver();
    first.relay.tick(now + 1499ms);
    CHECK(outcomes.empty());
    first.relay.tick(now + 1500ms);
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0].result == job_result::abandoned);
    deliver();
    CHECK(second.abandoned.size() == 1);
    relay();
    first.relay.abandon_all("stop");
    CHECK(outcomes.size() == 2);
    deliver();
    CHECK_FALSE(second.relay.uses(link));
}

// Guards against a crash or an endless allocation by a malformed message.
TEST_CASE_METHOD(relay_fixture, "job_relay: invalid steps are refused")
{
    relay();
    auto job = std::get<relayed_job>(first.sent.at(0));
    const auto check_refused = [&](const relayed_job& j)
    {
        CHECK_FALSE(to_submission(j));
        second.relay.on_job(link, j);
        CHECK(std::get<relayed_outcome>(second.sent.back()).result ==
              relay_result::busy);
    };
    auto bad = job;
    bad.steps.clear();
    check_refused(bad);
    bad = job;
    bad.steps[0].tasks = 4'000'000'000;
    check_refused(bad);
    bad = job;
    bad.steps[0].after = {0};
    check_refused(bad);
    CHECK(second.served.empty());
}

// Guards against a relayed job whose objective begins anew at the second entry.
TEST_CASE("job_scheduler: the objective counts from the arrival at the first "
          "entry, the deadline is what remains")
{
    std::optional<run_batch> unrelayed;
    for (const auto spent : {0ms, 40ms})
    {
        INFO(spent.count() << " ms");
        std::vector<run_batch> sent;
        job_scheduler_hooks h;
        h.send = [&sent](agent_incarnation, const run_batch& b)
        {
            sent.push_back(b);
        };
        h.cancel = [](agent_incarnation, const std::vector<order_id>&) {
        };
        h.finish = [](job_key, const job_outcome&) {
        };
        h.log = [](const log_record&) {
        };
        job_scheduler s({}, h);
        target_profile p;
        p.service = service_name("desk");
        p.capacity = {4000, 1000, 0};
        s.put_target(agent_incarnation(1), p, start);
        target_load l;
        l.accepts_work = true;
        s.set_load(agent_incarnation(1), l, start);
        job_submission job;
        job.id = "j";
        job.matched_route.service = service_name("desk");
        job.matched_route.stretch = 1.5;
        job.matched_route.added_latency = 60ms;
        step_plan step;
        step.task_resources = {1000, 10, 0};
        step.declared_run_time = 100ms;
        job.plan.steps = {step};
        job.deadline = 1500ms;
        job.spent = spent;
        s.admit(job_key(1), job, start);
        REQUIRE(sent.size() == 1);
        if (!unrelayed)
        {
            unrelayed = sent[0];
        }
        CHECK(duration(sent[0].objective_us) ==
              duration(unrelayed->objective_us) - spent);
        CHECK(duration(sent[0].useful_until_us) ==
              duration(unrelayed->useful_until_us) - spent);
        CHECK(duration(sent[0].deadline_us) == 1500ms);
    }
}
