// Guards against a response that says "not-run" although a task was started: a
// caller would submit the job again and run the task twice.
#include "small_cluster.hpp"

#include <csignal>
#include <functional>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t entries = 3;

void drain_all(cluster_fixture& t)
{
    for (const auto& target : t.nodes.options().targets)
    {
        const auto r = t.nodes.admin(
            0, "POST", "/v1/admin/targets/" + target.name + "/drain");
        CHECK(r.status / 100 == 2);
    }
    run_for(t.loop, 2s);
}

// Submits many jobs at once, spread over all entries.
void flood(cluster_fixture& t, std::size_t jobs, std::size_t tasks,
           int64_t run_ms, const std::string& patience)
{
    for (std::size_t i = 0; i < jobs; ++i)
    {
        const auto entry = i % entries;
        t.submit(entry, t.reserve(entry),
                 make_job("flood-" + std::to_string(i), tasks, run_ms, false,
                          patience),
                 40s);
    }
}

struct refusal_case
{
    const char* name;
    small_options options;
    std::function<void(cluster_fixture&)> run;
};

const refusal_case cases[] = {
    {"more work than the wait allows",
     {},
     [](cluster_fixture& t)
     {
         flood(t, 60, 8, 700, "now");
         t.wait_for_replies(90s);
         CHECK(t.verdict.count("complete") > 0);
         CHECK(t.verdict.count("") + t.verdict.count("failed") > 0);
     }},
    {"more tasks than the caller's quota",
     {.max_queued_tasks = 20},
     [](cluster_fixture& t)
     {
         flood(t, 30, 15, 300, "later");
         t.wait_for_replies(90s);
         CHECK(t.verdict.count("complete") > 0);
         CHECK(t.verdict.count("") > 0);
     }},
    {"all targets draining",
     {},
     [](cluster_fixture& t)
     {
         drain_all(t);
         flood(t, 6, 2, 50, "now");
         t.wait_for_replies(90s);
         CHECK(t.verdict.count("complete") == 0);
         CHECK(t.nodes.read_ledger().starts().empty());
     }},
    {"targets drained while tasks wait for them",
     {},
     [](cluster_fixture& t)
     {
         flood(t, 20, 10, 400, "now");
         drain_all(t);
         t.wait_for_replies(90s);
     }},
    {"links cut while tasks wait",
     {.relays = true},
     [](cluster_fixture& t)
     {
         flood(t, 20, 10, 300, "now");
         for (std::size_t i = 0; i < entries; ++i)
         {
             for (auto* relay : t.nodes.relays_of_entry(i))
             {
                 relay->cut();
             }
             run_for(t.loop, 100ms);
         }
         t.wait_for_replies(90s);
     }},
    {"agents killed while tasks run and wait",
     {},
     [](cluster_fixture& t)
     {
         flood(t, 20, 10, 400, "now");
         REQUIRE(t.wait_for_starts(10));
         for (const auto* name : {"agent-t-1", "agent-t-2", "agent-t-3"})
         {
             t.nodes.process(name).kill();
         }
         t.wait_for_replies(90s);
         CHECK(t.verdict.count("failed") > 0);
     }},
    {"agents suspended longer than the wait, then resumed",
     {},
     [](cluster_fixture& t)
     {
         flood(t, 12, 10, 400, "now");
         REQUIRE(t.wait_for_starts(10));
         for (const auto* name : {"agent-t-1", "agent-t-2"})
         {
             t.nodes.process(name).signal(SIGSTOP);
         }
         t.wait_for_replies(90s);
         for (const auto* name : {"agent-t-1", "agent-t-2"})
         {
             t.nodes.process(name).signal(SIGCONT);
         }
         run_for(t.loop, 3s);
     }},
    {"an entry leaves",
     {},
     [](cluster_fixture& t)
     {
         t.nodes.process("entry-1").signal(SIGTERM);
         run_for(t.loop, 50ms);
         for (std::size_t i = 0; i < 5; ++i)
         {
             const auto job = make_job("late-" + std::to_string(i), 2, 50);
             const auto ids = t.nodes.caller().reserve(t.nodes.entry_url(0), 1);
             t.submit_now(0, ids.empty() ? "none" : ids.front(), job);
         }
     }},
};

struct refused_body
{
    const char* name;
    std::string body;
    unsigned status;
};

std::string many_tasks(std::size_t n)
{
    return to_body(make_job("many", n, 1));
}

const refused_body refused_bodies[] = {
    {"broken JSON", "{\"service\":\"echo\",", 400},
    {"not an object", "[1,2,3]", 400},
    {"no tasks", R"({"service":"echo","patience":"now","tasks":[]})", 400},
    {"unknown field",
     R"({"service":"echo","patience":"now","tasks":[{}],"x":1})", 400},
    {"unknown service", R"({"service":"none","patience":"now","tasks":[{}]})",
     422},
    {"unknown patience", R"({"service":"echo","patience":"none","tasks":[{}]})",
     422},
    {"run time out of range",
     R"({"service":"echo","patience":"now","tasks":[{"run_time_ms":-1}]})",
     400},
    {"deep nesting",
     R"({"service":"echo","patience":"now","tasks":[{"payload":)" +
         std::string(5000, '[') + std::string(5000, ']') + "}]}",
     400},
    {"invalid UTF-8",
     "{\"service\":\"echo\",\"patience\":\"now\",\"tasks\":[{\"payload\":"
     "\"\xff\xfe\"}]}",
     400},
    {"too many tasks", many_tasks(5000), 422},
    {"too large a body", std::string(20U << 20U, ' '), 413},
};

} // namespace

TEST_CASE("no task of a job reported as not-run was started", "[not_run]")
{
    for (const auto& row : cases)
    {
        SECTION(row.name)
        {
            cluster_fixture t(make_cluster_options(row.options));
            row.run(t);
            run_for(t.loop, 1s);
            t.check_invariants();
        }
    }
}

TEST_CASE("a task whose start is uncertain is reported as may-have-run",
          "[not_run]")
{
    cluster_fixture t(make_cluster_options());
    const auto id = t.reserve(0);
    const auto job = make_job("unknown", 24, 1500);
    t.submit(0, id, job);
    REQUIRE(t.wait_for_starts(24));
    t.nodes.process("agent-t-1").kill();
    const auto r = t.submit_now(1, id, job);
    CHECK(r.state == "failed");
    CHECK(r.run == "may-have-run");
    t.wait_for_replies();
    t.check_invariants();
}

TEST_CASE("a malformed job is refused and starts nothing", "[not_run]")
{
    cluster_fixture t(make_cluster_options());
    for (const auto& row : refused_bodies)
    {
        INFO(row.name);
        http_call call;
        call.method = "PUT";
        call.url = t.nodes.entry_url(0) + "/v1/submissions/" + t.reserve(0);
        call.body = row.body;
        caller_reply reply;
        bool done = false;
        t.nodes.caller().send(call,
                              [&](const caller_reply& r)
                              {
                                  reply = r;
                                  done = true;
                              });
        REQUIRE(run_until(t.loop, 20s, [&] { return done; }));
        CHECK(reply.status == row.status);
        CHECK(reply.run == "not-run");
    }
    run_for(t.loop, 500ms);
    CHECK(t.nodes.read_ledger().starts().empty());
}
