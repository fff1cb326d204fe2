#include "node_cluster.hpp"
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <csignal>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t first = 0;
constexpr std::size_t second = 1;

// The first entry exceeds its processor share as soon as it runs, the second
// never does.
cluster_plan relay_plan(duration run_time)
{
    cluster_plan plan{2, 2, run_time};
    plan.relay_shares = {0.0001, 1};
    return plan;
}

bool wait_until_relaying(node_cluster& c)
{
    return c.wait_ready() &&
           run_until(
               c.loop, 5s,
               [&c]
               {
                   return c.entry_metric(
                              first, "agatebank_processor_over_share") == 1 &&
                          c.entry_metric(first, "agatebank_relay_peers") >= 1;
               });
}

std::size_t running(const node_cluster& c)
{
    std::size_t n = 0;
    for (const auto& it : c.targets)
    {
        n += it->running();
    }
    return n;
}

void check_ledger(const node_cluster& c)
{
    CHECK(c.ledger.overlaps == 0);
    CHECK(c.ledger.over_capacity == 0);
}

} // namespace

// Guards against relays that no process ever makes, or whose outcome doesn't
// reach the caller, and against agents that report each change of their load to
// a small entry, which requests 400 ms.
TEST_CASE("relay: an entry over its processor share relays jobs, and their "
          "callers are answered")
{
    node_cluster c(relay_plan(60ms));
    REQUIRE(wait_until_relaying(c));
    constexpr auto reports =
        R"(agatebank_load_reports_received{kind="amount"})";
    const auto reports_before = c.entry_metric(first, reports);
    const auto begin = c.loop.now();
    constexpr int jobs = 5;
    for (int i = 0; i < jobs; ++i)
    {
        const auto j = c.submit(first, "00000000000000a" + std::to_string(i));
        REQUIRE(c.wait_ended(j));
        CHECK(c.job(j).status == 200);
        CHECK(c.job(j).body == R"({"state":"succeeded"})");
    }
    const double periods = (c.loop.now() - begin) / 400ms + 2;
    REQUIRE(reports_before >= 0);
    CHECK(c.entry_metric(first, reports) - reports_before <= 2 * periods);
    CHECK(c.entry_metric(first, "agatebank_relays_answered") == jobs);
    CHECK(c.entry_metric(second, "agatebank_jobs_succeeded") == jobs);
    check_ledger(c);
}

// Guards against a caller that waits for a dead second entry, and against runs
// that are still active when it submits the job again.
TEST_CASE("relay: a killed or frozen second entry leads to an answer at once")
{
    for (const int signal_number : {SIGKILL, SIGSTOP})
    {
        INFO("signal " << signal_number);
        node_cluster c(relay_plan(4s));
        REQUIRE(wait_until_relaying(c));
        const auto j = c.submit(first, "000000000000000a", 4, 9s);
        REQUIRE(run_until(c.loop, 3s, [&c] { return running(c) == 4; }));
        c.entry(second).signal(signal_number);
        // A frozen entry is noticed after the silence timeout of 800 ms; the
        // rest allows for timers on a busy machine.
        REQUIRE(c.wait_ended(j, 1300ms));
        CHECK(c.job(j).status == 504);
        run_for(c.loop, 1300ms);
        const auto again = c.submit(first, "000000000000000a", 4, 9s);
        REQUIRE(run_until(c.loop, 3s, [&c] { return running(c) == 4; }));
        if (signal_number == SIGSTOP)
        {
            c.entry(second).signal(SIGCONT);
        }
        REQUIRE(c.wait_ended(again, 11s));
        CHECK(c.job(again).status == 200);
        check_ledger(c);
    }
}

// Guards against runs at the second entry that outlive the first one.
TEST_CASE("relay: the second entry stops the runs of a killed first entry and "
          "of a caller that disconnects")
{
    node_cluster c(relay_plan(4s));
    REQUIRE(wait_until_relaying(c));
    const auto j = c.submit(first, "000000000000000b", 4, 9s);
    REQUIRE(run_until(c.loop, 3s, [&c] { return running(c) == 4; }));
    c.disconnect(j);
    CHECK(run_until(c.loop, 1s, [&c] { return running(c) == 0; }));
    c.submit(first, "000000000000000a", 4, 9s);
    REQUIRE(run_until(c.loop, 3s, [&c] { return running(c) == 4; }));
    c.entry(first).kill();
    run_for(c.loop, 1300ms);
    CHECK(running(c) == 0);
    const auto again = c.submit(second, "000000000000000a", 4, 9s);
    REQUIRE(c.wait_ended(again, 11s));
    CHECK(c.job(again).status == 200);
    check_ledger(c);
}
