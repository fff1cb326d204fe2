// Guards against a task that starts twice when a submission is sent again, at
// the same or another entry, with or without a fault in between.
#include "small_cluster.hpp"

#include <csignal>
#include <functional>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t entries = 3;
constexpr std::size_t tasks = 6;
constexpr int64_t run_ms = 400;

// Submits the same job through every entry without waiting.
void submit_everywhere(cluster_fixture& t, const std::string& id,
                       const job_request& job)
{
    for (std::size_t i = 0; i < entries; ++i)
    {
        t.submit(i, id, job);
    }
}

struct resubmission_case
{
    const char* name;
    std::function<void(cluster_fixture&, const std::string&,
                       const job_request&)>
        run;
};

const resubmission_case resubmissions[] = {
    {"at the same moment through all entries",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         submit_everywhere(t, id, job);
         t.wait_for_replies();
         CHECK(t.verdict.count("complete") == entries);
     }},
    {"during the run",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         t.submit(0, id, job);
         REQUIRE(t.wait_for_starts(1));
         submit_everywhere(t, id, job);
         t.wait_for_replies();
         CHECK(t.verdict.count("complete") == entries + 1);
     }},
    {"after the answer",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         CHECK(t.submit_now(0, id, job).state == "complete");
         submit_everywhere(t, id, job);
         t.wait_for_replies();
         CHECK(t.verdict.count("complete") == entries + 1);
     }},
    {"after a wait that was too short",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         t.submit_now(0, id, job, 1ms);
         submit_everywhere(t, id, job);
         t.wait_for_replies();
         CHECK(t.verdict.count("complete") == entries);
     }},
};

// Faults between the submission and its resubmission.

void suspend_past_timeouts(cluster_fixture& t, const std::string& process)
{
    t.nodes.process(process).signal(SIGSTOP);
    run_for(t.loop, 5s);
}

const resubmission_case faults[] = {
    {"issuing entry killed",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         t.submit(0, id, job);
         REQUIRE(t.wait_for_starts(1));
         t.nodes.process("entry-1").kill();
         t.submit(1, id, job);
         t.submit(2, id, job);
         t.wait_for_replies();
     }},
    {"issuing entry killed and started again",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         t.submit(0, id, job);
         REQUIRE(t.wait_for_starts(1));
         t.nodes.process("entry-1").kill();
         t.nodes.start("entry-1");
         REQUIRE(t.nodes.wait_ready(0, 30s));
         submit_everywhere(t, id, job);
         t.wait_for_replies();
     }},
    {"issuing entry suspended past every timeout, then resumed",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         t.submit(0, id, job, 60s);
         REQUIRE(t.wait_for_starts(1));
         suspend_past_timeouts(t, "entry-1");
         t.submit(1, id, job);
         t.submit(2, id, job);
         run_for(t.loop, 1s);
         t.nodes.process("entry-1").signal(SIGCONT);
         run_for(t.loop, 1s);
         submit_everywhere(t, id, job);
         t.wait_for_replies(90s);
     }},
    {"agent suspended past every timeout, then resumed",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         t.submit(0, id, job, 60s);
         REQUIRE(t.wait_for_starts(1));
         for (const auto* name : {"agent-t-1", "agent-t-2", "agent-t-3"})
         {
             t.nodes.process(name).signal(SIGSTOP);
         }
         run_for(t.loop, 5s);
         for (const auto* name : {"agent-t-1", "agent-t-2", "agent-t-3"})
         {
             t.nodes.process(name).signal(SIGCONT);
         }
         submit_everywhere(t, id, job);
         t.wait_for_replies(90s);
     }},
    {"agent restarted between start and answer",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         t.submit(0, id, job);
         REQUIRE(t.wait_for_starts(tasks));
         t.nodes.process("agent-t-1").kill();
         t.nodes.start("agent-t-1");
         submit_everywhere(t, id, job);
         t.wait_for_replies();
     }},
    {"link between entry and agents silent",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         t.submit(0, id, job);
         REQUIRE(t.wait_for_starts(1));
         for (auto* relay : t.nodes.relays_of_entry(0))
         {
             relay->forget();
         }
         submit_everywhere(t, id, job);
         t.wait_for_replies();
         CHECK(t.verdict.count("complete") == entries + 1);
     }},
    {"links cut while the start is in transit",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         t.submit(0, id, job);
         run_for(t.loop, 5ms);
         for (auto* relay : t.nodes.relays_of_entry(0))
         {
             relay->cut();
         }
         submit_everywhere(t, id, job);
         t.wait_for_replies();
         CHECK(t.verdict.count("complete") == entries + 1);
     }},
    {"a start delayed in transit arrives late",
     [](cluster_fixture& t, const std::string& id, const job_request& job)
     {
         for (auto* relay : t.nodes.relays_of_agent("t-1"))
         {
             relay->hold(true);
         }
         t.submit(0, id, job);
         run_for(t.loop, 1s);
         submit_everywhere(t, id, job);
         run_for(t.loop, 2s);
         for (auto* relay : t.nodes.relays_of_agent("t-1"))
         {
             relay->hold(false);
         }
         t.wait_for_replies();
     }},
};

// Ids that must not start anything.

std::string forge_code(std::string id)
{
    id.back() = id.back() == '0' ? '1' : '0';
    return id;
}

// Changes the sequence number but keeps the authentication code, which then no
// longer matches.
std::string forge_sequence(std::string id)
{
    const auto at = id.find('-', id.find('-') + 1) - 1;
    id[at] = id[at] == '0' ? '1' : '0';
    return id;
}

struct refused_case
{
    const char* name;
    std::function<std::string(const std::string&)> change;
};

const refused_case refused_ids[] = {
    {"forged code", forge_code},
    {"forged sequence", forge_sequence},
    {"not an id",
     [](const std::string&)
     {
         return std::string("abc");
     }},
    {"unknown incarnation",
     [](const std::string& id)
     {
         return "0123456789abcdef" + id.substr(16);
     }},
};

} // namespace

TEST_CASE("a resubmission starts nothing twice", "[double_start]")
{
    for (const auto& row : resubmissions)
    {
        SECTION(row.name)
        {
            cluster_fixture t(make_cluster_options());
            const auto id = t.reserve(0);
            const auto job = make_job(row.name, tasks, run_ms);
            row.run(t, id, job);
            CHECK(t.nodes.read_ledger().starts_of(id).size() == tasks);
            t.check_invariants();
            t.check_slots();
        }
    }
}

TEST_CASE("a fault before a resubmission starts nothing twice",
          "[double_start]")
{
    for (const auto& row : faults)
    {
        SECTION(row.name)
        {
            small_options o;
            o.relays = true;
            cluster_fixture t(make_cluster_options(o));
            const auto id = t.reserve(0);
            row.run(t, id, make_job(row.name, tasks, run_ms));
            run_for(t.loop, 2s);
            CHECK(t.nodes.read_ledger().starts_of(id).size() <= tasks);
            t.check_invariants();
        }
    }
}

TEST_CASE("an id that is not the caller's starts nothing", "[double_start]")
{
    cluster_fixture t(make_cluster_options());
    const auto id = t.reserve(0);
    for (const auto& row : refused_ids)
    {
        SECTION(row.name)
        {
            const auto job = make_job(row.name, tasks, run_ms);
            for (std::size_t i = 0; i < entries; ++i)
            {
                const auto r = t.submit_now(i, row.change(id), job);
                CHECK(r.status / 100 == 4);
                CHECK(r.run == "not-run");
            }
            t.check_invariants();
            CHECK(t.nodes.read_ledger().starts().empty());
        }
    }
    SECTION("another caller's id")
    {
        job_caller other(t.loop, other_token());
        const auto job = make_job("foreign", tasks, run_ms);
        for (std::size_t i = 0; i < entries; ++i)
        {
            const auto r = other.submit_now(t.nodes.entry_url(i), id, job, 10s);
            CHECK(r.status / 100 == 4);
            CHECK(r.run == "not-run");
        }
        CHECK(t.nodes.read_ledger().starts().empty());
    }
}

TEST_CASE("an id used again with another body starts nothing", "[double_start]")
{
    cluster_fixture t(make_cluster_options());
    const auto id = t.reserve(0);
    const auto first = make_job("first", tasks, run_ms);
    t.submit(0, id, first);
    REQUIRE(t.wait_for_starts(1));
    for (std::size_t i = 0; i < entries; ++i)
    {
        const auto r = t.submit_now(i, id, make_job("second", tasks, run_ms));
        CHECK(r.status == 409);
    }
    t.wait_for_replies();
    t.check_invariants();
    CHECK(t.nodes.read_ledger().times_of("second#0").empty());
    CHECK(t.nodes.read_ledger().starts_of(id).size() == tasks);
}
