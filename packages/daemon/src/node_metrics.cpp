#include "node_metrics.hpp"

#include <algorithm>
#include <functional>
#include <string_view>

namespace agatebank
{

namespace
{

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

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
    "heartbeat",         "peer_hello",      "configuration_query",
    "target_hello",      "target_update",   "configuration_document",
    "run_batch",         "order_results",   "cancel_orders",
    "roster_update",     "crash_reports",   "entry_load",
    "relayed_job",       "relayed_outcome", "relay_cancel",
    "evacuation_update", "report_request"};

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
        {"agatebank_link_delay_seconds",
         "Delay of the last message of a link, the longest of all links.",
         {}},
        [&links] { return to_seconds(links.longest_delay()); });
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

void add_relay_gauges(metrics_registry& metrics, const entry_node& node)
{
    using counts = job_relay_counts;
    const count_gauge<counts> rows[] = {
        {"agatebank_jobs_relayed", "Jobs sent to another entry.",
         &counts::relayed},
        {"agatebank_relays_answered",
         "Relayed jobs with an outcome from the other entry.",
         &counts::answered},
        {"agatebank_relays_refused_by_peer",
         "Relayed jobs that the other entry refused, then served here.",
         &counts::refused_by_peer},
        {"agatebank_relays_lost", "Relayed jobs given up with their link.",
         &counts::lost},
        {"agatebank_relays_received", "Jobs relayed here by other entries.",
         &counts::received},
        {"agatebank_relays_refused", "Jobs relayed here and refused.",
         &counts::refused}};
    add_count_gauges(metrics, node.relay().counts(), rows);
    const auto& loads = node.loads();
    metrics.add_gauge(
        {"agatebank_processor_utilisation",
         "Processor time used over the share, in the last 250 to 500 ms.",
         {}},
        [&loads] { return loads.own().utilisation().value_or(0); });
    metrics.add_gauge({"agatebank_processor_over_share",
                       "1 while new jobs are relayed if possible.",
                       {}},
                      [&loads] { return loads.own().over() ? 1.0 : 0.0; });
    metrics.add_gauge(
        {"agatebank_job_processor_seconds",
         "Own processor time per job, served or relayed, in the last 5 s.",
         {}},
        [&loads] { return to_seconds(loads.job_time().mean()); });
    metrics.add_gauge({"agatebank_served_job_processor_seconds",
                       "Own processor time of a job that this entry serves.",
                       {}},
                      [&loads]
                      { return to_seconds(loads.job_time().serving()); });
    metrics.add_gauge({"agatebank_relayed_job_processor_seconds",
                       "Own processor time of a job that this entry relays.",
                       {}},
                      [&loads]
                      { return to_seconds(loads.job_time().relaying()); });
    metrics.add_gauge(
        {"agatebank_relay_peers", "Linked entries that accept jobs.", {}},
        [&loads] { return static_cast<double>(loads.accepting_peers()); });
}

struct report_row
{
    const char* kind;
    uint64_t load_report_counts::*field;
};

void add_report_gauges(metrics_registry& metrics,
                       const report_requester& reports)
{
    metrics.add_gauge(
        {"agatebank_load_report_period_seconds",
         "Shortest time between two load reports that agents are asked for.",
         {}},
        [&reports] { return to_seconds(reports.period()); });
    using counts = load_report_counts;
    const report_row rows[] = {{"greeting", &counts::greetings},
                               {"class", &counts::class_changes},
                               {"amount", &counts::other_changes}};
    for (const auto& row : rows)
    {
        metrics.add_gauge(
            {"agatebank_load_reports_received",
             "Load reports of agents, by what changed.",
             {{"kind", row.kind}}},
            [&reports, field = row.field]
            { return static_cast<double>(reports.counts().*field); });
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
         "Jobs that waited for targets to be discovered.", &counts::held},
        {"agatebank_orders_returned_early",
         "Orders returned by agents as ending after their objective.",
         &counts::returned_early},
        {"agatebank_orders_moved",
         "Orders at another target after such a return.",
         &counts::moved_orders},
        {"agatebank_jobs_shed",
         "Jobs refused as late while their service was overloaded.",
         &counts::shed},
        {"agatebank_jobs_refused_as_useless",
         "Jobs refused as useless by the corrected forecast.",
         &counts::refused_as_useless},
        {"agatebank_jobs_lost_too_late",
         "Jobs given up as a run of theirs may go on for too long at a target "
         "that can't be reached.",
         &counts::lost_too_late},
        {"agatebank_locality_waits", "Orders that waited near their data.",
         &counts::locality_waits},
        {"agatebank_locality_waits_given_up",
         "Waits near the data that ended without a complete run there.",
         &counts::locality_waits_given_up},
        {"agatebank_locality_elsewhere",
         "Orders sent away from the rack of their data.",
         &counts::locality_elsewhere},
        {"agatebank_locality_granted_ms",
         "Time granted for waits near the data.", &counts::locality_granted_ms},
        {"agatebank_locality_waited_ms", "Time waited near the data.",
         &counts::locality_waited_ms},
        {"agatebank_locality_gained_ms",
         "Time by which waiting tasks ended before the expected end elsewhere.",
         &counts::locality_gained_ms},
        {"agatebank_locality_lost_ms",
         "Time by which they ended after it, and time of waits given up.",
         &counts::locality_lost_ms}};
    const auto& scheduler = node.scheduler();
    add_count_gauges(metrics, scheduler.counts(), rows);
    metrics.add_gauge(
        {"agatebank_jobs_running", "Jobs without an answer.", {}},
        [&scheduler] { return static_cast<double>(scheduler.running_jobs()); });
    metrics.add_gauge(
        {"agatebank_targets", "Targets linked.", {}}, [&scheduler]
        { return static_cast<double>(scheduler.targets().size()); });
    metrics.add_gauge({"agatebank_routes_on_probation",
                       "Routes whose tasks crashed targets in the last 10 s.",
                       {}},
                      [&scheduler] {
                          return static_cast<double>(
                              scheduler.containment().routes_on_probation());
                      });
    metrics.add_gauge({"agatebank_probation_targets",
                       "Targets kept for tasks that may crash them.",
                       {}},
                      [&scheduler] {
                          return static_cast<double>(
                              scheduler.containment().reserved_targets());
                      });
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
    add_relay_gauges(metrics, node);
    add_report_gauges(metrics, node.reports());
}

void add_explainer_metrics(metrics_registry& metrics,
                           const platform::job_explainer& explainer)
{
    using counts = platform::job_explainer_counts;
    const count_gauge<counts> rows[] = {
        {"agatebank_explanations", "Jobs explained without a submission.",
         &counts::explained},
        {"agatebank_explanations_refused",
         "Requests for an explanation that were refused.", &counts::refused}};
    add_count_gauges(metrics, explainer.counts(), rows);
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
        {"agatebank_runs_hung", "Runs stopped that did not proceed at all.",
         &counts::hung},
        {"agatebank_runs_lost", "Runs that ended with the target.",
         &counts::lost_runs},
        {"agatebank_target_losses", "Times that runs ended with the target.",
         &counts::target_losses},
        {"agatebank_orders_not_run", "Orders returned.", &counts::not_run},
        {"agatebank_orders_returned_early",
         "Queued orders returned as ending after their objective.",
         &counts::returned_early},
        {"agatebank_orders_dropped_useless",
         "Queued orders returned as ending after their answer's use.",
         &counts::dropped_useless},
        {"agatebank_orders_infeasible",
         "Queued orders returned as ending after their deadline.",
         &counts::infeasible},
        {"agatebank_starts_unanswered", "Starts without an answer.",
         &counts::unanswered_starts},
        {"agatebank_ends_held",
         "Ends held until the copies of the start call are settled.",
         &counts::held_ends},
        {"agatebank_end_holds_expired",
         "Held ends reported before the copies were settled.",
         &counts::expired_holds}};
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
