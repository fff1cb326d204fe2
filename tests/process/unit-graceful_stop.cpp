// Guards against requests in flight that are lost when a process is stopped by
// SIGTERM.
#include "steady_load.hpp"

#include <csignal>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

// A process must end within this time after SIGTERM.
constexpr auto stop_time = 15s;

void stop_and_restart(cluster_fixture& t, const std::string& name)
{
    INFO("stopping " + name);
    auto& p = t.nodes.process(name);
    p.signal(SIGTERM);
    const auto code = p.wait(stop_time);
    REQUIRE(code.has_value());
    CHECK(*code == 0);
    t.nodes.start(name);
}

// Waits until every entry is ready and lists every target.
void wait_for_all_targets(cluster_fixture& t)
{
    for (std::size_t i = 0; i < 3; ++i)
    {
        REQUIRE(t.nodes.wait_ready(i, 30s));
        const bool all_listed = t.nodes.wait_targets(i, 3, 30s);
        INFO(t.nodes.admin(i, "GET", "/v1/admin/targets").body);
        REQUIRE(all_listed);
    }
}

struct stop_case
{
    const char* name;
    std::vector<std::string> processes;
};

const stop_case cases[] = {
    {"an entry", {"entry-1"}},
    {"an agent", {"agent-t-1"}},
    {"a target", {"target-t-1"}},
    {"a target, then its agent", {"target-t-2", "agent-t-2"}},
    {"all of them, one at a time",
     {"entry-1", "agent-t-1", "target-t-1", "entry-2", "agent-t-2",
      "target-t-2", "entry-3", "agent-t-3", "target-t-3"}},
};

} // namespace

TEST_CASE("SIGTERM under load loses no answer", "[graceful_stop]")
{
    for (const auto& row : cases)
    {
        SECTION(row.name)
        {
            cluster_fixture t(make_cluster_options());
            steady_load load(t);
            load.start();
            run_for(t.loop, 1s);
            for (const auto& name : row.processes)
            {
                INFO("stopped " + name);
                stop_and_restart(t, name);
                wait_for_all_targets(t);
            }
            run_for(t.loop, 500ms);
            load.finish();
            CHECK(to_lines(load.failure_messages()).empty());
            CHECK(load.complete() > 100);
            t.check_invariants();
            t.check_slots();
        }
    }
}
