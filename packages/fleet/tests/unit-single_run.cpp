#include "cluster_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <iostream>

using namespace agatebank;

namespace
{

/// Jobs of a simulation: few that are refused, and more than fit.
constexpr int job_numbers[] = {40, 160};

// What the simulations of one property came to.
struct totals
{
    refusal_counts refusals;
    int relayed = 0;
    int relays_lost = 0;
    int relay_cancels = 0;
};

totals check_rules(int jobs, bool relays)
{
    totals out;
    const bool ok = rc::check(
        [jobs, relays, &out](uint64_t seed)
        {
            cluster_simulation simulation(seed, relays);
            simulation.run(jobs);
            const auto refusals = simulation.refusals.counts();
            RC_ASSERT(simulation.overlaps == 0);
            RC_ASSERT(refusals.refused_jobs_started == 0U);
            RC_ASSERT(refusals.starts_after_refusal == 0U);
            RC_ASSERT(simulation.answers == jobs);
            out.refusals += refusals;
            out.relayed += simulation.relayed;
            out.relays_lost += simulation.relays_lost;
            out.relay_cancels += simulation.relay_cancels;
        });
    CHECK(ok);
    std::cout << "schedulers: " << jobs << " jobs"
              << (relays ? ", relayed: " : ": ") << out.refusals.refusals
              << " refusals, " << out.refusals.refusals_after_start
              << " of these after a start for an earlier submission\n";
    return out;
}

} // namespace

// Guards against two runs of a task at the same time, and against a job that is
// refused as not run although one of its tasks has run or is started later.
// Both can happen if a task is placed again while a lost link, an unanswered
// call or a late start leaves the end of its previous order uncertain.
TEST_CASE("schedulers: no task runs twice at once and 'not run' is never false "
          "when links, calls and runs fail")
{
    std::size_t refusals = 0;
    for (const int jobs : job_numbers)
    {
        refusals += check_rules(jobs, false).refusals.refusals;
    }
    CHECK(refusals > 1000); // often enough to be tested
}

// Guards against two runs of a task, and against a false "not run", when jobs
// are relayed: the first entry answers without knowing what the second one has
// started, and a caller's retry may meet those runs.
TEST_CASE("schedulers: no task runs twice at once and 'not run' is never false "
          "when jobs are relayed and links between entries fail")
{
    for (const int jobs : job_numbers)
    {
        const auto t = check_rules(jobs, true);
        // The faults are frequent enough to be tested.
        CHECK(t.refusals.refusals > 100);
        CHECK(t.relayed > 1000);
        CHECK(t.relays_lost > 100);
        CHECK(t.relay_cancels > 100);
    }
}
