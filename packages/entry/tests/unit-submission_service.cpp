#include <agatebank/entry/submission_service.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>

using namespace agatebank;

namespace
{

constexpr const char* body =
    R"({"service":"s","patience":"now","tasks":[{"payload":"x"}]})";

// A submission service with the real dispatcher and one target whose agent is
// not connected: admitted jobs wait and no task is started.
struct service_fixture
{
    event_loop loop;
    timer_queue timers{loop};
    hybrid_clock clock{[]
                       {
                           return uint64_t{1};
                       }};
    event_ring events{clock, "entry", 1000};
    authenticator auth{"key"};
    submission_id_codec codec{auth.hex_mac()};
    link_hub hub{{loop,
                  clock,
                  auth,
                  {},
                  []
                  {
                      return config_version(1);
                  }},
                 {}};
    agent_directory agents{loop,   timers, hub,
                           events, {},     std::chrono::seconds(1)};
    dispatcher job_dispatcher{dispatch_options{}};
    submission_service service;
    job_service jobs;
    caller_name caller{"desk"};
    std::vector<http_response> responses;

    explicit service_fixture(submission_limits limits)
        : service(
              loop, timers, entry_incarnation(7), codec,
              [](const caller_name&,
                 const job_document& job) -> result<job_rules>
              {
                  if (job.service != service_name("s"))
                  {
                      return fail(errc::service_unknown, "test");
                  }
                  job_rules rules;
                  rules.service.name = service_name("s");
                  rules.patience = {patience_name("now"),
                                    std::chrono::seconds(1), price(5)};
                  return rules;
              },
              limits)
        , jobs(loop, timers, job_dispatcher, agents, events,
               [this](const submission_id& id, const job_settlement& s)
               { service.on_settled(id, s); })
    {
        service.set_jobs(jobs);
        target_offer offer;
        offer.agent = agent_incarnation(1);
        offer.services = {service_name("s")};
        offer.slots = 8;
        job_dispatcher.put_target(offer, loop.now());
    }

    submission_id decode_id(const std::string& text)
    {
        return codec.decode(text, caller).value();
    }

    http_response submit(const std::string& text, const std::string& job)
    {
        http_response got;
        service.submit(decode_id(text), text, caller, job, duration::zero(),
                       [&](const http_response& r) { got = r; });
        return got;
    }

    void run_for(duration d)
    {
        const auto end = loop.after(d, [this] { loop.quit(); });
        loop.run();
    }
};

std::string field_of(const http_response& r, const char* field)
{
    return nlohmann::json::parse(r.body).value(field, "");
}

} // namespace

// Guards against a job that runs twice: a caller repeats a request when the
// response to it was lost.
TEST_CASE("submission_service: a repeated id starts no second job")
{
    service_fixture f({});
    const auto id = f.service.issue(f.caller);
    CHECK(f.submit(id, body).status == 202);

    SECTION("the same body again waits for the first job")
    {
        CHECK(f.submit(id, body).status == 202);
        CHECK(f.jobs.counts().admitted == 1);
    }
    SECTION("another body is refused and starts nothing")
    {
        const auto r = f.submit(id, std::string(body) + " ");
        CHECK(r.status == 409);
        CHECK(field_of(r, "code") == "submission_body_differs");
        CHECK(field_of(r, "run") == "may-have-run");
        CHECK(f.jobs.counts().admitted == 1);
    }
    SECTION("cancelled before any start: reported as not run")
    {
        http_response got;
        f.service.cancel(f.decode_id(id), id,
                         [&](const http_response& r) { got = r; });
        CHECK(field_of(got, "state") == "failed");
        CHECK(field_of(got, "run") == "not-run");
        CHECK(f.submit(id, body).body == got.body);
        CHECK(f.jobs.counts().admitted == 1);
    }
}

// A refused job leaves no record, so its id can be used for a corrected job.
TEST_CASE("submission_service: the id of a refused job can be used again")
{
    service_fixture f({});
    const auto id = f.service.issue(f.caller);
    const auto r =
        f.submit(id, R"({"service":"t","patience":"now","tasks":[{}]})");
    CHECK(r.status == 422);
    CHECK(field_of(r, "run") == "not-run");
    CHECK(f.submit(id, body).status == 202);
}

// Guards against a second run of a job whose record was dropped: the id has
// expired by then, and a request with it is refused. An expired id that was
// never used gets the same response, as the two cannot be told apart.
TEST_CASE("submission_service: a dropped record cannot start a second job")
{
    submission_limits limits;
    limits.validity = std::chrono::seconds(1);
    limits.answer_retention = std::chrono::seconds(1);
    service_fixture f(limits);
    const auto id = f.service.issue(f.caller);
    const auto unused = f.service.issue(f.caller);
    CHECK(f.submit(id, body).status == 202);
    http_response cancelled;
    f.service.cancel(f.decode_id(id), id,
                     [&](const http_response& r) { cancelled = r; });
    f.run_for(std::chrono::seconds(4));
    CHECK(f.service.records() == 0);
    for (const auto& text : {id, unused})
    {
        const auto r = f.submit(text, body);
        CHECK(r.status == 410);
        CHECK(field_of(r, "run") == "may-have-run");
    }
    CHECK(f.jobs.counts().admitted == 1);
}

// While the process stops, new jobs are refused as not run and repeated
// requests for running jobs are still answered.
TEST_CASE("submission_service: new jobs are refused while stopping")
{
    service_fixture f({});
    const auto running = f.service.issue(f.caller);
    const auto late = f.service.issue(f.caller);
    CHECK(f.submit(running, body).status == 202);
    f.service.refuse_new_jobs();
    const auto r = f.submit(late, body);
    CHECK(r.status == 503);
    CHECK(field_of(r, "run") == "not-run");
    CHECK(f.submit(running, body).status == 202);
}
