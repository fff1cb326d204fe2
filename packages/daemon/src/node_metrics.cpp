#include "node_metrics.hpp"

#include <algorithm>
#include <functional>
#include <string_view>

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

// Kinds of messages that entries and agents of this form exchange.
constexpr const char* exchanged_kinds[] = {
    "heartbeat",     "peer_hello",    "configuration_query",
    "target_hello",  "target_update", "configuration_document",
    "run_batch",     "order_results", "cancel_orders",
    "roster_update", "crash_reports", "evacuation_update"};

struct class_row
{
    const char* name;
    link_class peer;
};

struct traffic_row
{
    const char* name;
    const char* help;
    uint64_t kind_traffic::*field;
};

void add_traffic_gauges(metrics_registry& metrics, const link_hub& links,
                        std::size_t kind)
{
    constexpr class_row classes[] = {{"agent", link_class::agent},
                                     {"entry", link_class::entry}};
    constexpr traffic_row rows[] = {
        {"agatebank_link_kind_messages_sent",
         "Messages sent, by kind and peer.", &kind_traffic::messages_sent},
        {"agatebank_link_kind_messages_received",
         "Messages received, by kind and peer.",
         &kind_traffic::messages_received},
        {"agatebank_link_kind_bytes_sent", "Bytes sent, by kind and peer.",
         &kind_traffic::bytes_sent},
        {"agatebank_link_kind_bytes_received",
         "Bytes received, by kind and peer.", &kind_traffic::bytes_received}};
    for (const auto& row : rows)
    {
        for (const auto& peer : classes)
        {
            metrics.add_gauge(
                {row.name,
                 row.help,
                 {{"kind", to_kind_name(kind)}, {"peer", peer.name}}},
                [&links, kind, field = row.field, peer = peer.peer] {
                    return static_cast<double>(links.traffic(peer).kinds[kind].*
                                               field);
                });
        }
    }
}

void add_link_gauges(metrics_registry& metrics, const link_hub& links,
                     const entry_links& entries)
{
    metrics.add_gauge({"agatebank_links", "Open links to processes.", {}},
                      [&links] { return static_cast<double>(links.size()); });
    metrics.add_gauge(
        {"agatebank_link_bytes_sent", "Bytes sent to processes.", {}}, [&links]
        { return static_cast<double>(links.total_traffic().bytes_sent); });
    metrics.add_gauge(
        {"agatebank_known_entries", "Other entries in the roster.", {}},
        [&entries] { return static_cast<double>(entries.known_entries()); });
    for (std::size_t kind = 0; kind < message_kind_count; ++kind)
    {
        if (std::find(std::begin(exchanged_kinds), std::end(exchanged_kinds),
                      std::string_view(to_kind_name(kind))) !=
            std::end(exchanged_kinds))
        {
            add_traffic_gauges(metrics, links, kind);
        }
    }
}

void add_evacuation_gauges(
    metrics_registry& metrics,
    const std::function<const evacuation_state&()>& state)
{
    metrics.add_gauge(
        {"agatebank_evacuated_domains",
         "Failure domains that are evacuated.",
         {}},
        [state] { return static_cast<double>(state().domains().size()); });
    metrics.add_gauge(
        {"agatebank_evacuation_version",
         "Table version of the evacuated failure domains.",
         {}},
        [state] { return static_cast<double>(state().version().value()); });
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
         &counts::repeated_orders},
        {"agatebank_orders_isolated", "Orders that run alone at a target.",
         &counts::isolated_orders},
        {"agatebank_jobs_failed_by_crashes",
         "Jobs with a task that crashes its targets.",
         &counts::failed_by_crashes},
        {"agatebank_jobs_refused_on_probation",
         "Jobs refused while their route is on probation.",
         &counts::refused_on_probation},
        {"agatebank_jobs_held",
         "Jobs that waited for targets to be discovered.", &counts::held}};
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
    add_evacuation_gauges(
        metrics, [&scheduler]() -> const auto& {
            return scheduler.evacuated().state();
        });
    metrics.add_gauge(
        {"agatebank_targets_cold", "Linked targets that are cold.", {}},
        [&scheduler]
        {
            const auto& targets = scheduler.targets();
            return static_cast<double>(std::count_if(
                targets.begin(), targets.end(),
                [](const auto& t) { return t.second.load().cold; }));
        });
    metrics.add_gauge(
        {"agatebank_targets_evacuated",
         "Linked targets in evacuated failure domains.",
         {}},
        [&scheduler]
        { return static_cast<double>(count_evacuated(scheduler.targets())); });
    add_link_gauges(metrics, node.links(), node.entries());
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
        {"agatebank_runs_lost", "Runs that ended with the target.",
         &counts::lost_runs},
        {"agatebank_target_losses", "Times that runs ended with the target.",
         &counts::target_losses},
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
    add_evacuation_gauges(
        metrics, [&node]() -> const auto& { return node.evacuation(); });
    metrics.add_gauge({"agatebank_target_evacuated",
                       "Whether the target's failure domain is evacuated.",
                       {}},
                      [&node] { return node.is_evacuated() ? 1.0 : 0.0; });
    add_link_gauges(metrics, node.links(), node.entries());
}

} // namespace agatebank
