#include "node_metrics.hpp"

namespace agatebank
{

namespace
{

template <class Counts>
struct count_gauge
{
    const char* name;
    const char* help;
    uint64_t Counts::*field;
};

template <class Counts, std::size_t N>
void add_count_gauges(metrics_registry& metrics, const Counts& counts,
                      const count_gauge<Counts> (&rows)[N])
{
    for (const auto& row : rows)
    {
        metrics.add_gauge({row.name, row.help, {}}, [&counts, field = row.field]
                          { return static_cast<double>(counts.*field); });
    }
}

void add_link_gauges(metrics_registry& metrics, const link_hub& links)
{
    metrics.add_gauge({"agatebank_links", "Open links to processes.", {}},
                      [&links] { return static_cast<double>(links.size()); });
    metrics.add_gauge(
        {"agatebank_link_bytes_sent", "Bytes sent to processes.", {}}, [&links]
        { return static_cast<double>(links.total_traffic().bytes_sent); });
}

} // namespace

void add_node_metrics(metrics_registry& metrics, const entry_node& node)
{
    using counts = job_scheduler_counts;
    const count_gauge<counts> rows[] = {
        {"agatebank_jobs_admitted", "Jobs admitted.", &counts::admitted},
        {"agatebank_jobs_refused", "Jobs refused, not run.", &counts::refused},
        {"agatebank_jobs_succeeded", "Jobs complete.", &counts::succeeded},
        {"agatebank_jobs_failed", "Jobs with a task out of attempts.",
         &counts::failed},
        {"agatebank_jobs_given_up", "Jobs without a result.",
         &counts::abandoned},
        {"agatebank_jobs_cancelled", "Jobs nobody waited for.",
         &counts::cancelled},
        {"agatebank_orders_sent", "Orders sent to agents.", &counts::orders},
        {"agatebank_orders_repeated", "Orders beyond a task's first.",
         &counts::repeated_orders}};
    const auto& scheduler = node.scheduler();
    add_count_gauges(metrics, scheduler.counts(), rows);
    metrics.add_gauge(
        {"agatebank_jobs_running", "Jobs without an answer.", {}},
        [&scheduler] { return static_cast<double>(scheduler.running_jobs()); });
    metrics.add_gauge(
        {"agatebank_targets", "Targets linked.", {}}, [&scheduler]
        { return static_cast<double>(scheduler.targets().size()); });
    metrics.add_gauge(
        {"agatebank_configuration_version", "Version in force.", {}}, [&node]
        { return static_cast<double>(node.routes().version().value()); });
    add_link_gauges(metrics, node.links());
}

void add_node_metrics(metrics_registry& metrics, const agent_node& node)
{
    using counts = run_scheduler_counts;
    const count_gauge<counts> rows[] = {
        {"agatebank_orders_received", "Orders received.", &counts::orders},
        {"agatebank_runs_started", "Starts sent.", &counts::starts},
        {"agatebank_runs_done", "Runs that ended well.", &counts::done},
        {"agatebank_runs_failed", "Runs that failed.", &counts::failed},
        {"agatebank_runs_stopped", "Runs that were stopped.", &counts::stopped},
        {"agatebank_runs_stalled", "Runs stopped without progress.",
         &counts::stalled},
        {"agatebank_orders_not_run", "Orders returned.", &counts::not_run},
        {"agatebank_starts_unanswered", "Starts without an answer.",
         &counts::unanswered_starts}};
    const auto& scheduler = node.scheduler();
    add_count_gauges(metrics, scheduler.counts(), rows);
    metrics.add_gauge({"agatebank_runs", "Runs that hold room.", {}},
                      [&scheduler]
                      { return static_cast<double>(scheduler.running()); });
    metrics.add_gauge({"agatebank_orders_queued", "Orders that wait.", {}},
                      [&scheduler]
                      { return static_cast<double>(scheduler.queued()); });
    add_link_gauges(metrics, node.links());
}

} // namespace agatebank
