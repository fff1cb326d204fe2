#include "node_cluster.hpp"
#include "order_source_stand_in.hpp"
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace agatebank;
using namespace std::chrono_literals;

// Guards against a second run of a task when a target restarts under the same
// id. It lists the end of the run; a repeated call to start the same run, sent
// as the first had no answer, then reaches the new incarnation, whose clock and
// fencing token begin anew. Meanwhile the entry has sent the task elsewhere.
// Seen with seed 103 of the fault soak.
TEST_CASE("restarted target: a repeated start call that reaches the next "
          "incarnation starts no second run")
{
    node_cluster c({1, 2, 400ms});
    REQUIRE(c.wait_ready());
    // The first call is carried out after the agent has repeated it.
    constexpr duration repeat_delay = 50ms;
    for (const auto wait :
         {40ms, 42ms, 44ms, 46ms, 47ms, 48ms, 49ms, 50ms, 51ms})
    {
        for (const auto& it : c.targets)
        {
            it->set_call_delay(repeat_delay + 30ms);
        }
        const auto overlaps = c.ledger.overlaps;
        const auto job =
            c.submit(0, "00000000000000" + std::to_string(wait.count()), 1);
        const auto started = [&c]() -> target_stand_in*
        {
            for (const auto& it : c.targets)
            {
                if (it->running() != 0)
                {
                    return it.get();
                }
            }
            return nullptr;
        };
        REQUIRE(run_until(c.loop, 3s, [&] { return started() != nullptr; }));
        auto& target = *started();
        run_for(c.loop, wait);
        target.restart();
        for (const auto& it : c.targets)
        {
            it->set_call_delay({});
        }
        INFO("restarted " << wait.count() << " ms after the start");
        CHECK(c.wait_ended(job));
        CHECK(c.ledger.overlaps == overlaps);
        run_for(c.loop, 500ms);
    }
}

// Guards against calls to start a run that are under way while a target
// restarts under the same id: until the agent raises its token, the new
// incarnation accepts them, and it may be announced seconds later.
TEST_CASE("restarted target: an incarnation that is not announced yet gets a "
          "raised token")
{
    node_cluster c({1, 1});
    REQUIRE(c.wait_ready());
    auto& target = *c.targets[0];
    // One announcement, so that the next one comes long after the restart.
    target.set_announcement_period(60s, 0s);
    run_for(c.loop, 200ms);
    const auto before = target.fencing_token();
    REQUIRE(before != 0);
    target.restart(false);
    CHECK(
        run_until(c.loop, 2s, [&] { return target.fencing_token() > before; }));
}

// Guards against tasks that start on a target without the label that they
// require: it crashed, its connections were reset, and another kind of machine
// came back under its id, while its agent went on with the former one's orders.
TEST_CASE(
    "restarted target: a target that comes back as another kind under its "
    "id starts no task that requires its former kind")
{
    struct row
    {
        duration away;
        duration job_spacing;
    };
    const row rows[] = {{0ms, 50ms},   {20ms, 50ms}, {150ms, 50ms},
                        {400ms, 50ms}, {0ms, 4ms},   {150ms, 4ms}};
    for (const auto& row : rows)
    {
        DYNAMIC_SECTION("away for " << row.away.count() / 1000
                                    << " ms, a job each "
                                    << row.job_spacing.count() / 1000 << " ms")
        {
            node_cluster c({2, 2});
            REQUIRE(c.wait_ready());
            auto& target = *c.targets[0];
            c.targets[1]->set_kind("b");
            c.targets[1]->restart();
            run_for(c.loop, 300ms);
            std::size_t next = 0;
            const auto submit = [&]
            {
                const auto number = std::to_string(100000 + next);
                return c.submit(next++ % 2, "0000000000" + number, 1, 1500ms,
                                "/q/", kind_payload + "a");
            };
            // The agent has several connections to its target.
            std::size_t last = 0;
            for (int i = 0; i < 8; ++i)
            {
                last = submit();
            }
            REQUIRE(c.wait_ended(last));
            REQUIRE(c.job(last).status == 200);
            const auto jobs = c.loop.every(row.job_spacing, [&] { submit(); });
            for (const std::string kind : {"b", "a", "b"})
            {
                run_for(c.loop, 700ms);
                target.set_kind(kind);
                target.crash(row.away, true);
            }
            run_for(c.loop, 700ms);
            CHECK(c.ledger.wrong_kind == 0);
            CHECK(c.ledger.overlaps == 0);
            CHECK(c.targets[0]->starts() > 8);
        }
    }
}

// Guards against orders that were placed by the properties of a target's former
// incarnation and arrive when its agent follows the next one.
TEST_CASE("restarted target: orders for another incarnation than the present "
          "one are returned as not run")
{
    node_cluster c({0, 1});
    order_source_stand_in entry(c.loop);
    tcp_relay network(c.links(0), entry.address());
    REQUIRE(run_until(c.loop, 10s,
                      [&entry] { return entry.has_accepting_agent(); }));
    const auto former = entry.target();
    c.targets[0]->crash(20ms, true);
    REQUIRE(run_until(c.loop, 3s,
                      [&] {
                          return entry.target() != former &&
                                 entry.has_accepting_agent();
                      }));
    entry.send_order(order_id(1), former);
    REQUIRE(run_until(c.loop, 1s, [&] { return !entry.results().empty(); }));
    CHECK(entry.results().front().outcome == run_outcome::not_run);
    CHECK(c.targets[0]->starts() == 0);
    entry.send_order(order_id(2));
    REQUIRE(run_until(c.loop, 1s, [&] { return entry.results().size() == 2; }));
    CHECK(entry.results().back().outcome == run_outcome::done);
    CHECK(c.targets[0]->starts() == 1);
}
