#include "node_cluster.hpp"
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace agatebank;
using namespace std::chrono_literals;

// Guards against a second run of a task whose start was read from a connection
// that then broke. The agent repeats the start on a new connection, and this
// one is refused; the first one is carried out later.
// Meanwhile the entry has sent the task elsewhere.
TEST_CASE("repeated start: a start that is refused after its connection broke "
          "begins no run later")
{
    node_cluster c({1, 2, 400ms});
    REQUIRE(c.wait_ready());
    // More tasks than one target runs at once, so that a connection to each is
    // kept.
    constexpr unsigned many_tasks = 20;
    REQUIRE(c.wait_ended(c.submit(0, "0000000000000001", many_tasks)));
    REQUIRE(std::all_of(c.targets.begin(), c.targets.end(),
                        [](const auto& it) { return it->starts() > 0; }));
    for (int i = 0; i < 3; ++i)
    {
        INFO("job " << i);
        c.ledger.broken_start = 100ms;
        const auto starts = c.ledger.starts;
        const auto job = c.submit(0, "00000000000000a" + std::to_string(i), 1);
        CHECK(c.wait_ended(job));
        CHECK_FALSE(c.ledger.broken_start);
        run_for(c.loop, 500ms);
        CHECK(c.ledger.overlaps == 0);
        if (c.job(job).status == 503)
        {
            CHECK(c.ledger.starts == starts);
        }
    }
}
