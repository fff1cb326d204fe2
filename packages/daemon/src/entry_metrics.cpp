#include <agatebank/daemon/entry_metrics.hpp>

#include <functional>

namespace agatebank
{

void add_entry_metrics(metrics_registry& metrics, const entry_process& entry)
{
    struct gauge_row
    {
        const char* name;
        const char* help;
        std::function<double()> read;
    };
    const auto& jobs = entry.jobs();
    const gauge_row gauges[] = {
        {"agatebank_jobs_admitted", "Jobs admitted since the start.",
         [&jobs]
         {
             return double(jobs.counts().admitted);
         }},
        {"agatebank_jobs_refused", "Jobs refused by admission.",
         [&jobs]
         {
             return double(jobs.counts().refused);
         }},
        {"agatebank_jobs_complete", "Jobs settled with every answer.",
         [&jobs]
         {
             return double(jobs.counts().complete);
         }},
        {"agatebank_jobs_failed", "Jobs marked failed.",
         [&jobs]
         {
             return double(jobs.counts().failed);
         }},
        {"agatebank_jobs_cancelled", "Jobs cancelled by callers.",
         [&jobs]
         {
             return double(jobs.counts().cancelled);
         }},
        {"agatebank_jobs_running", "Jobs admitted and not settled.",
         [&jobs]
         {
             return double(jobs.running_jobs());
         }},
        {"agatebank_starts_sent", "Starts sent to agents.",
         [&jobs]
         {
             return double(jobs.counts().starts);
         }},
        {"agatebank_starts_not_run", "Starts reported as not run.",
         [&jobs]
         {
             return double(jobs.counts().not_run_reports);
         }},
        {"agatebank_starts_kept", "Starts kept until acknowledged.",
         [&entry]
         {
             return double(entry.agents().retained_starts());
         }},
        {"agatebank_tasks_waiting", "Tasks that wait for a slot.",
         [&entry]
         {
             return double(entry.job_dispatcher().waiting_tasks());
         }},
        {"agatebank_submission_records", "Submissions kept.",
         [&entry]
         {
             return double(entry.submissions().records());
         }},
        {"agatebank_callers_waiting", "Requests that wait for an answer.",
         [&entry]
         {
             return double(entry.submissions().waiting_callers());
         }},
        {"agatebank_agents_connected", "Agents connected.",
         [&entry]
         {
             return double(entry.agents().connected().size());
         }},
        {"agatebank_entries_live", "Other entries heard of lately.",
         [&entry]
         {
             return double(entry.entries().live().size());
         }},
        {"agatebank_datagrams_dropped", "Datagrams that were not accepted.",
         [&entry]
         {
             return double(entry.entries().dropped_datagrams());
         }},
        {"agatebank_link_bytes_sent", "Bytes sent to processes by TCP.",
         [&entry]
         {
             return double(entry.links().total_traffic().bytes_sent);
         }},
        {"agatebank_link_bytes_received",
         "Bytes received from processes by TCP.",
         [&entry]
         {
             return double(entry.links().total_traffic().bytes_received);
         }},
    };
    for (const auto& gauge : gauges)
    {
        metrics.add_gauge({gauge.name, gauge.help, {}}, gauge.read);
    }
}

} // namespace agatebank
