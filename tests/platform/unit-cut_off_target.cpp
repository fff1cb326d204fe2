#include "node_cluster.hpp"
#include <agatebank/core/duration_math.hpp>
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr duration run_time = 900ms;

cluster_plan cut_plan()
{
    cluster_plan plan;
    plan.entries = 2;
    plan.agents = 4;
    plan.run_time = run_time;
    plan.estimate = run_time;
    return plan;
}

struct cut_jobs
{
    std::vector<std::size_t> jobs;
    std::size_t target = 0; ///< that is cut off, with runs of some of them
};

// Submits four jobs of four tasks. Cuts the target off that has most runs once
// all are running.
cut_jobs submit_and_cut(node_cluster& c, const char* id, duration deadline)
{
    cut_jobs out;
    for (std::size_t i = 0; i < 4; ++i)
    {
        out.jobs.push_back(
            c.submit(i % 2, id + std::to_string(i), 4, deadline));
    }
    const auto running = [&c]
    {
        std::size_t n = 0;
        for (const auto& it : c.targets)
        {
            n += it->running();
        }
        return n;
    };
    REQUIRE(run_until(c.loop, 2s, [&] { return running() == 16; }));
    run_for(c.loop, 50ms);
    for (std::size_t i = 1; i < c.targets.size(); ++i)
    {
        if (c.targets[i]->running() > c.targets[out.target]->running())
        {
            out.target = i;
        }
    }
    c.targets[out.target]->cut_off();
    return out;
}

// Waits until the agent of the target that is cut off has given up its runs.
bool wait_lost(node_cluster& c, std::size_t target)
{
    return run_until(c.loop, 3s,
                     [&] {
                         return c.agent_logged(
                             target, "the target accepts no connections");
                     });
}

} // namespace

// Guards against two runs of one task: its target is cut off so that
// connections are refused, is taken for one that has ended, and runs on.
TEST_CASE("cut-off target: no task starts elsewhere while its run may go on at "
          "a target that refuses connections")
{
    for (const auto cut : {100ms, 400ms, 900ms, 5500ms})
    {
        INFO("cut off for " << cut.count() << " ms");
        node_cluster c(cut_plan());
        REQUIRE(c.wait_ready());
        const auto cut_off = submit_and_cut(c, "000000000000000", 6s);
        run_for(c.loop, cut);
        c.targets[cut_off.target]->reconnect();
        for (const auto j : cut_off.jobs)
        {
            CHECK(c.wait_ended(j));
            CHECK(c.job(j).status == 200);
        }
        CHECK(c.ledger.overlaps == 0);
        CHECK(c.ledger.over_capacity == 0);
    }
}

// Guards against callers that wait until their deadline for tasks whose target
// refuses connections and that can't be run again in time.
TEST_CASE("cut-off target: jobs that can't be run again in time are answered "
          "at once")
{
    constexpr duration deadline = 1500ms;
    node_cluster c(cut_plan());
    REQUIRE(c.wait_ready());
    // The entries learn the run time.
    for (std::size_t i = 0; i < 4; ++i)
    {
        const auto j = c.submit(i % 2, "00000000000000a" + std::to_string(i));
        REQUIRE(c.wait_ended(j));
    }
    const auto cut_off = submit_and_cut(c, "00000000000000b", deadline);
    REQUIRE(wait_lost(c, cut_off.target));
    const auto lost_at = c.loop.now();
    std::size_t given_up = 0;
    for (const auto j : cut_off.jobs)
    {
        CHECK(c.wait_ended(j));
        const auto& it = c.job(j);
        INFO("answered " << it.status << " after " << to_ms_text(it.took)
                         << ", target lost after "
                         << to_ms_text(lost_at - it.submitted));
        if (it.status != 200)
        {
            ++given_up;
            CHECK(it.status == 504);
            CHECK(it.submitted + it.took < lost_at + 200ms);
        }
    }
    CHECK(given_up > 0);
    CHECK(c.ledger.overlaps == 0);
}

// Guards against runs that nobody waits for, and against a target that gets no
// work after it was cut off.
TEST_CASE("cut-off target: once it can be reached again, what is left there is "
          "stopped, and it gets work")
{
    node_cluster c(cut_plan());
    REQUIRE(c.wait_ready());
    std::size_t stops = 0;
    c.ledger.on_event =
        [&](const std::string&, const target_run&, const std::string& event)
    {
        stops += event == "told to stop" ? 1 : 0;
    };
    const auto cut_off = submit_and_cut(c, "000000000000000", 6s);
    auto& target = *c.targets[cut_off.target];
    REQUIRE(wait_lost(c, cut_off.target));
    CHECK(stops == 0);
    target.reconnect();
    for (const auto j : cut_off.jobs)
    {
        CHECK(c.wait_ended(j));
        CHECK(c.job(j).status == 200);
    }
    CHECK(stops > 0);
    const auto before = target.starts();
    for (int i = 0; i < 4; ++i)
    {
        const auto j = c.submit(0, "00000000000000a" + std::to_string(i), 16);
        CHECK(c.wait_ended(j));
        CHECK(c.job(j).status == 200);
    }
    CHECK(target.starts() > before);
    CHECK(c.ledger.overlaps == 0);
}
