#include "process_metrics.hpp"

#include <ctime>

#include <sys/resource.h>

namespace agatebank
{

namespace
{

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

double to_seconds(const timeval& t)
{
    return to_seconds(std::chrono::seconds(t.tv_sec) +
                      std::chrono::microseconds(t.tv_usec));
}

double processor_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return to_seconds(usage.ru_utime) + to_seconds(usage.ru_stime);
}

} // namespace

duration processor_time()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return std::chrono::duration_cast<duration>(
        std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec));
}

process_metrics::process_metrics(metrics_registry& metrics,
                                 const event_loop& loop, double processor_share,
                                 const std::vector<std::string>& phases)
    : metrics_(metrics)
    , loop_(loop)
    , started_(loop.now())
    , loop_lag_(metrics.add_distribution(
          {"agatebank_loop_lag_seconds",
           "Time by which the event loop's periodic timer was late.",
           {}}))
{
    metrics.add_gauge({"agatebank_process_cpu_seconds",
                       "Processor time used by the process.",
                       {}},
                      processor_seconds);
    metrics.add_gauge({"agatebank_processor_share_cores",
                       "Cores that the process may use; 0: not limited.",
                       {}},
                      [processor_share] { return processor_share; });
    metrics.add_gauge(
        {"agatebank_process_age_seconds", "Time since the start.", {}},
        [this] { return to_seconds(loop_.now() - started_); });
    for (const auto& it : phases)
    {
        metrics.add_gauge(
            {"agatebank_start_phase_seconds",
             "Time from the start until a phase was complete; 0: not yet.",
             {{"phase", it}}},
            [this, it]
            {
                const auto found = phases_.find(it);
                return found == phases_.end() ? 0 : to_seconds(found->second);
            });
    }
}

node_observer process_metrics::observer()
{
    return {[this](duration lag)
            { metrics_.observe(loop_lag_, to_seconds(lag)); },
            [this](const char* phase)
            {
                phases_.emplace(phase, loop_.now() - started_);
            }};
}

} // namespace agatebank
