// Guards against answers that reach the wrong caller or request, when answers
// arrive out of order or connections and processes are replaced.
#include "steady_load.hpp"

#include <functional>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

struct disturbance
{
    const char* name;
    bool agents_keep_running;
    std::function<void(cluster_fixture&)> run;
};

void cause_stragglers(cluster_fixture& t)
{
    for (const auto* target : {"t-1", "t-2", "t-3"})
    {
        t.nodes.target_mode(
            target, {{"straggler_share", 0.2}, {"straggler_factor", 8}});
    }
}

const disturbance disturbances[] = {
    {"answers out of order", true,
     [](cluster_fixture& t)
     {
         run_for(t.loop, 4s);
     }},
    {"agents restarted on the same ports", false,
     [](cluster_fixture& t)
     {
         for (const auto* name : {"agent-t-1", "agent-t-2", "agent-t-3"})
         {
             run_for(t.loop, 1s);
             t.nodes.process(name).kill();
             t.nodes.start(name);
         }
         run_for(t.loop, 2s);
     }},
    {"entries restarted on the same ports", true,
     [](cluster_fixture& t)
     {
         for (const auto* name : {"entry-1", "entry-2", "entry-3"})
         {
             run_for(t.loop, 1s);
             t.nodes.process(name).kill();
             t.nodes.start(name);
         }
         run_for(t.loop, 2s);
     }},
    {"links silently lost and replaced", true,
     [](cluster_fixture& t)
     {
         for (std::size_t i = 0; i < 3; ++i)
         {
             for (auto* relay : t.nodes.relays_of_entry(i))
             {
                 relay->forget();
             }
             run_for(t.loop, 2s);
         }
     }},
};

} // namespace

TEST_CASE("each caller receives the complete answer to its own request",
          "[own_answer]")
{
    for (const auto& row : disturbances)
    {
        SECTION(row.name)
        {
            small_options o;
            o.relays = true;
            cluster_fixture t(make_cluster_options(o));
            cause_stragglers(t);
            load_options shape;
            shape.in_flight = 100;
            shape.tasks = 3;
            shape.max_run_ms = 80;
            steady_load load(t, shape);
            load.start();
            row.run(t);
            load.finish(120s);
            CHECK(load.complete() > 200);
            t.check_invariants();
            if (row.agents_keep_running)
            {
                t.check_slots();
            }
        }
    }
}
