#include "node_cluster.hpp"
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <silent_clients.hpp>
#include <string>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr const char* processor_seconds = "agatebank_process_cpu_seconds";
constexpr unsigned jobs = 200;
constexpr std::size_t idle_callers = 600;
constexpr duration job_spacing = 10ms;

// Processor time of entry 0 for a series of jobs, in seconds.
double serve_jobs(node_cluster& c, const std::string& name)
{
    const auto before = c.entry_metric(0, processor_seconds);
    std::vector<std::size_t> submitted;
    const auto begin = c.loop.now();
    for (unsigned i = 0; i < jobs; ++i)
    {
        const auto at = begin + job_spacing * i;
        run_until(c.loop, 1s, [&] { return c.loop.now() >= at; });
        submitted.push_back(c.submit(0, name + std::to_string(i)));
    }
    unsigned served = 0;
    for (const auto it : submitted)
    {
        c.wait_ended(it);
        served += c.job(it).status == 200 ? 1U : 0U;
    }
    CHECK(served == jobs);
    return c.entry_metric(0, processor_seconds) - before;
}

} // namespace

// Guards against an entry of a small processor share that answers late while
// most of its callers ask for nothing: each wake-up visited their connections.
TEST_CASE("caller connections: an entry's jobs take no more processor time "
          "while hundreds of callers are idle")
{
    cluster_plan plan;
    plan.entries = 1;
    plan.agents = 4;
    plan.keep_connections = true;
    node_cluster c(plan);
    REQUIRE(c.wait_ready());
    serve_jobs(c, "warm-");
    const auto alone = serve_jobs(c, "alone-");
    const auto server = c.callers(0);
    const silent_clients idle(server.address, server.port, idle_callers);
    REQUIRE(run_until(c.loop, 5s,
                      [&] { return idle.connected() == idle_callers; }));
    const auto beside = serve_jobs(c, "beside-");
    INFO("seconds alone " << alone << ", beside idle callers " << beside);
    // A fifth for the noise of the machine.
    CHECK(beside < 1.2 * alone);
}
