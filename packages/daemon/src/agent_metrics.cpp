#include <agatebank/daemon/agent_metrics.hpp>

#include <functional>

namespace agatebank
{

void add_agent_metrics(metrics_registry& metrics, const agent_process& agent)
{
    struct gauge_row
    {
        const char* name;
        const char* help;
        std::function<double(const agent_statistics&)> read;
    };
    using stats = const agent_statistics&;
    const gauge_row gauges[] = {
        {"agatebank_orders_received", "Start orders, repeats included.",
         [](stats s)
         {
             return double(s.orders);
         }},
        {"agatebank_starts_accepted", "Starts taken.",
         [](stats s)
         {
             return double(s.accepted);
         }},
        {"agatebank_starts_refused", "Starts fenced.",
         [](stats s)
         {
             return double(s.refused);
         }},
        {"agatebank_runs_answered", "Runs with a whole answer.",
         [](stats s)
         {
             return double(s.answered);
         }},
        {"agatebank_runs_failed", "Runs without a whole answer.",
         [](stats s)
         {
             return double(s.failed);
         }},
        {"agatebank_runs_timed_out", "Runs without an answer in time.",
         [](stats s)
         {
             return double(s.timed_out);
         }},
        {"agatebank_tasks_running", "Tasks on the target now.",
         [](stats s)
         {
             return double(s.running);
         }},
        {"agatebank_tasks_queued", "Tasks accepted and not started.",
         [](stats s)
         {
             return double(s.queued);
         }},
        {"agatebank_starts_tracked", "Starts remembered.",
         [](stats s)
         {
             return double(s.tracked);
         }},
        {"agatebank_entries_connected", "Entries connected.",
         [](stats s)
         {
             return double(s.entries_connected);
         }},
        {"agatebank_link_bytes_sent", "Bytes sent to entries by TCP.",
         [](stats s)
         {
             return double(s.traffic.bytes_sent);
         }},
        {"agatebank_link_bytes_received", "Bytes received from entries.",
         [](stats s)
         {
             return double(s.traffic.bytes_received);
         }},
    };
    for (const auto& gauge : gauges)
    {
        metrics.add_gauge({gauge.name, gauge.help, {}},
                          [&agent, read = gauge.read]
                          { return read(agent.statistics()); });
    }
}

} // namespace agatebank
