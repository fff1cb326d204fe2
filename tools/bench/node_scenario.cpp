#include "node_scenario.hpp"

#include "process_usage.hpp"
#include <agatebank/harness/run_until.hpp>

#include <node_cluster.hpp>
#include <silent_clients.hpp>
#include <stdexcept>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* load_reports =
    "agatebank_link_kind_messages_received{kind=\"target_update\",peer="
    "\"agent\"}";

double agents_ms(node_cluster& c, unsigned n)
{
    double out = 0;
    for (unsigned i = 0; i < n; ++i)
    {
        out += read_usage(c.agent(i).pid()).processor_ms;
    }
    return out;
}

} // namespace

std::vector<bench_row> measure_nodes(const node_load& load)
{
    cluster_plan plan{1 + load.idle_entries, load.agents, 60ms, true};
    plan.log_level = load.log_level;
    plan.poll_spacing_us = load.poll_spacing_us;
    plan.processor_share = load.processor_share;
    if (load.relay)
    {
        plan.entries = 2;
        plan.relay_shares = {0.0001, 1};
    }
    node_cluster c(plan);
    c.configure(1);
    if (!c.wait_ready())
    {
        throw std::runtime_error("the nodes did not become ready");
    }
    if (load.relay)
    {
        run_for(c.loop, 1s); // until the load of both entries is known
    }
    const auto callers = c.callers(0);
    const silent_clients idle(callers.address, callers.port, load.idle_callers);
    if (!run_until(c.loop, 5s,
                   [&] { return idle.connected() == load.idle_callers; }))
    {
        throw std::runtime_error("the idle callers found no connection");
    }
    const auto entry = read_usage(c.entry(0).pid()).processor_ms;
    const bool has_second = load.relay || load.idle_entries != 0;
    const auto second =
        has_second ? read_usage(c.entry(1).pid()).processor_ms : 0;
    const auto second_reports =
        has_second ? c.entry_metric(1, load_reports) : 0;
    const auto agents = agents_ms(c, load.agents);
    const auto reports = c.entry_metric(0, load_reports);
    const auto load_start = c.loop.now();
    const unsigned jobs = load.jobs_per_s * load.duration_s;
    for (unsigned i = 0; i < jobs; ++i)
    {
        const auto submission_time =
            load_start + duration(1s) * i / load.jobs_per_s;
        run_until(c.loop, 1s, [&] { return c.loop.now() >= submission_time; });
        c.submit(0, "job-" + std::to_string(i), load.tasks);
    }
    unsigned served = 0;
    for (unsigned i = 0; i < jobs; ++i)
    {
        c.wait_ended(i);
        served += c.job(i).status == 200 ? 1U : 0U;
    }
    const double starts = double(served) * load.tasks;
    std::vector<bench_row> out{
        {"nodes: jobs served", double(served), "of " + std::to_string(jobs),
         ""},
        {"nodes: entry's processor time per job of 4 tasks",
         (read_usage(c.entry(0).pid()).processor_ms - entry) / served, "ms",
         "< 0.6 ms"},
        {"nodes: agent's processor time per start",
         (agents_ms(c, load.agents) - agents) / starts, "ms", "< 0.25 ms"},
        {"nodes: load reports received by the entry",
         c.entry_metric(0, load_reports) - reports, "", ""}};
    if (load.relay)
    {
        out.push_back({"nodes: jobs relayed",
                       c.entry_metric(0, "agatebank_relays_answered"),
                       "of " + std::to_string(jobs), ""});
        out.push_back(
            {"nodes: second entry's processor time per job of 4 tasks",
             (read_usage(c.entry(1).pid()).processor_ms - second) / served,
             "ms", ""});
    }
    else if (has_second)
    {
        out.push_back({"nodes: load reports received by an idle entry",
                       c.entry_metric(1, load_reports) - second_reports, "",
                       ""});
        out.push_back({"nodes: processor time of an idle entry",
                       read_usage(c.entry(1).pid()).processor_ms - second, "ms",
                       ""});
    }
    return out;
}

} // namespace agatebank
