#include "cluster_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace agatebank;

// Guards against two runs of a task at the same time, and against a job that is
// reported as not run although one of its tasks has run. Both can happen if a
// task is placed again while a lost link, an unanswered call or a late start
// leaves the end of its previous order uncertain.
TEST_CASE("schedulers: no task runs twice at once and 'not run' is never false "
          "when links, calls and runs fail")
{
    const bool ok = rc::check(
        [](uint64_t seed)
        {
            cluster_simulation simulation(seed);
            simulation.run(40);
            RC_ASSERT(simulation.overlaps == 0);
            RC_ASSERT(simulation.false_not_run == 0);
            RC_ASSERT(simulation.answers == 40);
        });
    CHECK(ok);
}

// Guards against two runs of a task, and against a false "not run", when jobs
// are relayed: the first entry answers without knowing what the second one has
// started, and a caller's retry may meet those runs.
TEST_CASE("schedulers: no task runs twice at once and 'not run' is never false "
          "when jobs are relayed and links between entries fail")
{
    int relayed = 0;
    int lost = 0;
    int cancels = 0;
    const bool ok = rc::check(
        [&](uint64_t seed)
        {
            cluster_simulation simulation(seed, true);
            simulation.run(40);
            RC_ASSERT(simulation.overlaps == 0);
            RC_ASSERT(simulation.false_not_run == 0);
            RC_ASSERT(simulation.answers == 40);
            relayed += simulation.relayed;
            lost += simulation.relays_lost;
            cancels += simulation.relay_cancels;
        });
    CHECK(ok);
    // The faults are frequent enough to be tested.
    CHECK(relayed > 1000);
    CHECK(lost > 100);
    CHECK(cancels > 100);
}
