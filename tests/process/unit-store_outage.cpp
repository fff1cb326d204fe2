// Guards against tasks that stall while the configuration store is unavailable,
// slow or loses replies, also when a process is replaced meanwhile.
#include "steady_load.hpp"

#include <functional>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

struct outage_case
{
    const char* name;
    nlohmann::json faults;
    std::vector<std::string> killed; ///< and restarted during the outage
};

const outage_case cases[] = {
    {"unavailable", {{"outage", true}}, {}},
    {"slow", {{"delay_ms", 3000}}, {}},
    {"losing replies", {{"lose_replies", 100}}, {}},
    {"an entry replaced during an outage", {{"outage", true}}, {"entry-1"}},
    {"an agent replaced during an outage", {{"outage", true}}, {"agent-t-1"}},
    {"a worker and an entry replaced during an outage",
     {{"outage", true}},
     {"target-t-2", "agent-t-2", "entry-2"}},
};

} // namespace

TEST_CASE("tasks keep completing during a store outage", "[store_outage]")
{
    for (const auto& row : cases)
    {
        SECTION(row.name)
        {
            cluster_fixture t(make_cluster_options());
            steady_load load(t);
            load.start();
            run_for(t.loop, 1s);
            t.nodes.platform_faults(row.faults);
            for (const auto& name : row.killed)
            {
                t.nodes.process(name).kill();
                t.nodes.start(name);
            }
            run_for(t.loop, 3s);
            const auto before = load.complete();
            run_for(t.loop, 2s);
            CHECK(load.complete() > before + 50);
            for (std::size_t i = 0; i < 3; ++i)
            {
                CHECK(t.nodes.wait_ready(i, 20s));
                CHECK(t.nodes.wait_targets(i, 3, 20s));
            }
            load.finish();
            if (row.killed.empty())
            {
                CHECK(to_lines(load.failure_messages()).empty());
            }
            t.nodes.platform_faults(
                {{"outage", false}, {"delay_ms", 0}, {"lose_replies", 0}});
            run_for(t.loop, 1s);
            const auto r = t.nodes.admin(
                0, "POST", "/v1/admin/targets/t-1/drain", nullptr);
            CHECK(r.status / 100 == 2);
            t.check_invariants();
        }
    }
}
