// Guards against invariants that break when two faults overlap: injects pairs
// of faults under load and checks the invariants at the end.
// AGATEBANK_SOAK_SEED and AGATEBANK_SOAK_ROUNDS set the schedule; without them
// the short schedule of CI runs.
#include "fault_schedule.hpp"
#include "steady_load.hpp"

#include <cstdlib>
#include <iostream>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr uint64_t short_seed = 20261204;
constexpr uint64_t short_rounds = 4;

uint64_t read_variable(const char* name, uint64_t default_value)
{
    const char* value = std::getenv(name);
    return value == nullptr ? default_value : std::strtoull(value, nullptr, 10);
}

} // namespace

TEST_CASE("the invariants hold under pairs of simultaneous faults", "[soak]")
{
    const auto seed = read_variable("AGATEBANK_SOAK_SEED", short_seed);
    const auto rounds = read_variable("AGATEBANK_SOAK_ROUNDS", short_rounds);
    small_options o;
    o.relays = true;
    cluster_fixture t(make_cluster_options(o));
    load_options shape;
    shape.patience = "soon";
    shape.tasks = 3;
    steady_load load(t, shape);
    fault_schedule schedule(t, seed);
    load.start();
    for (uint64_t n = 0; n < rounds; ++n)
    {
        schedule.run_round();
    }
    const auto before = load.complete();
    run_for(t.loop, 2s);
    INFO("seed " << seed << "\n" << schedule.history());
    CHECK(load.complete() > before);
    load.finish(180s);
    for (std::size_t i = 0; i < 3; ++i)
    {
        CHECK(t.nodes.wait_ready(i, 20s));
        CHECK(t.nodes.wait_targets(i, 3, 20s));
        CHECK(t.nodes.version(i) == t.nodes.version(0));
    }
    t.check_invariants();
    std::cout << "soak: seed " << seed << ", " << rounds << " rounds, "
              << load.complete() << " jobs complete, " << load.failed()
              << " failed, " << load.refused() << " refused" << std::endl;
}
