// Guards against rules that hold under one fault and break when processes are
// paused or killed while their network or their targets are slow: a second run
// of a task, a start beyond a target's capacity, a refusal of a job that has
// run, and a caller without an answer.
// AGATEBANK_SOAK_SEED and AGATEBANK_SOAK_ROUNDS set the schedule of the hidden
// case; with AGATEBANK_SOAK_CUTS=1 targets are cut off, too, and with
// AGATEBANK_SOAK_SUSPENSIONS=1 entries are suspended.
// AGATEBANK_KEEP_LOGS keeps the logs of the processes.
#include "fault_soak.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace agatebank;

namespace
{

constexpr uint64_t short_rounds = 6;
constexpr uint64_t default_rounds = 20;

uint64_t read_variable(const char* name, uint64_t default_value)
{
    const char* value = std::getenv(name);
    return value == nullptr ? default_value : std::strtoull(value, nullptr, 10);
}

void run_soak(uint64_t seed, uint64_t rounds, const soak_options& options = {})
{
    fault_soak soak(seed, options);
    REQUIRE(soak.start());
    uint64_t n = 0;
    while (n < rounds && !soak.failed())
    {
        soak.run_round();
        ++n;
    }
    soak.finish();
    std::cout << "fault soak: seed " << seed << ", " << n << " rounds, "
              << soak.summary() << std::endl;
    INFO("seed " << seed << ", round " << n << "\n"
                 << (soak.failed() ? soak.report() : ""));
    CHECK_FALSE(soak.failed());
}

} // namespace

TEST_CASE("fault soak: the rules hold under faults in series and at once")
{
    run_soak(20261205, short_rounds);
}

// Guards against tasks that start elsewhere while their target is cut off,
// refuses connections and runs on.
TEST_CASE("fault soak: the rules hold while targets are cut off as well")
{
    run_soak(20261206, short_rounds, {true, false});
}

// Guards against requests that are older than their connection tells.
TEST_CASE("fault soak: the rules hold while entries are suspended as well")
{
    run_soak(20261207, short_rounds, {false, true});
}

// Each row is a seed with which a rule was broken, and the cause. The processes
// run in real time, so a seed needn't show its failure each time. Hidden, as a
// row takes two minutes.
TEST_CASE("fault soak: seeds that failed before", "[.][soak-seeds]")
{
    struct row
    {
        uint64_t seed;
        uint64_t rounds;
        const char* cause;
    };
    for (const auto& it : {
             row{103, 20,
                 "a repeated call to start a run reaches the next incarnation "
                 "of a target after the agent has reported the run's end"},
             row{116, 3,
                 "a request under way for 1.8 s is read shortly before the end "
                 "of its connection, after the job was submitted again"},
         })
    {
        INFO(it.cause);
        run_soak(it.seed, it.rounds);
    }
}

TEST_CASE("fault soak: a seed and a number of rounds", "[.][soak]")
{
    run_soak(read_variable("AGATEBANK_SOAK_SEED", 1),
             read_variable("AGATEBANK_SOAK_ROUNDS", default_rounds),
             {read_variable("AGATEBANK_SOAK_CUTS", 0) != 0,
              read_variable("AGATEBANK_SOAK_SUSPENSIONS", 0) != 0});
}
