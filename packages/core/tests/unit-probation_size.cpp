#include <agatebank/core/probation_size.hpp>
#include <agatebank/core/probation_targets.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace agatebank;
using namespace std::chrono_literals;

// Guards against probation that refuses the harmless jobs of a route while
// targets are free, and against one that ends although crashes cost more.
TEST_CASE("probation_size: weighs refused jobs against crashes")
{
    struct row
    {
        const char* name;
        probation_input in;
        std::size_t least;
        std::size_t most;
        double most_refused;
    };
    const auto away = 3200ms;
    const row rows[] = {
        {"a tenth of 33 jobs/s on 11 targets: as many as may be kept",
         {11, 0, 4, 3.3, 3, away, 33, 80ms, 0.33, 0},
         4,
         5,
         0.7},
        {"the same, most targets were lost before: the others need the rest",
         {11, 6, 4, 3.3, 3, away, 33, 80ms, 0.33, 0},
         1,
         1,
         1},
        {"2 % of 100 jobs/s on 53 targets: nothing is refused",
         {53, 0, 25, 2, 3, away, 100, 80ms, 0.33, 0},
         14,
         21,
         0},
        {"a quarter of a route on 77 targets: nothing is refused",
         {77, 0, 30, 5, 3, away, 20, 80ms, 0.33, 0},
         17,
         30,
         0},
        {"one job in 300 s, whose tasks run late on probation",
         {77, 0, 30, 0.003, 3, away, 200, 80ms, 0.33, 0.8},
         0,
         0,
         1},
        {"the same, and the busy service has no target to spare",
         {77, 0, 76, 0.003, 3, away, 200, 80ms, 0.33, 0},
         0,
         0,
         1},
        {"few jobs that lose nothing on probation",
         {77, 0, 30, 0.1, 3, away, 5, 80ms, 0.1, 0},
         1,
         2,
         0},
        {"crashes cost others more than 5 %: the route bears the cost",
         {11, 0, 4, 0.3, 3, away, 40, 80ms, 0.9, 0.8},
         4,
         5,
         0.1},
        {"a single target", {1, 0, 0, 1, 3, away, 10, 80ms, 1, 0}, 1, 1, 0.8},
        {"no target", {0, 0, 0, 1, 3, away, 10, 80ms, 1, 0}, 0, 0, 0}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        const auto out = size_probation(it.in);
        INFO("containment " << out.containment_loss << ", crashes "
                            << out.crash_loss << ", refused "
                            << out.refused_share);
        CHECK(out.targets >= it.least);
        CHECK(out.targets <= it.most);
        CHECK(out.refused_share <= it.most_refused);
    }
}

// Guards against entries that keep unrelated targets, as their estimates differ
// a little.
TEST_CASE("probation_targets: a larger selection includes a smaller one")
{
    std::vector<agent_incarnation> agents;
    for (uint64_t i = 1; i <= 20; ++i)
    {
        agents.emplace_back(i * 7919);
    }
    auto smaller = select_probation_targets(agents, 0);
    CHECK(smaller.size() == 1);
    for (std::size_t n = 2; n <= 22; ++n)
    {
        const auto larger = select_probation_targets(agents, n);
        CHECK(larger.size() == std::min<std::size_t>(n, 20));
        CHECK(std::includes(larger.begin(), larger.end(), smaller.begin(),
                            smaller.end()));
        smaller = larger;
    }
}
