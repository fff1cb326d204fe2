#include "process_metrics.hpp"

#include <agatebank/core/duration_math.hpp>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include <sys/resource.h>
#include <unistd.h>

namespace agatebank
{

namespace
{

constexpr const char* step_start = "process.start";

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

time_point process_start(const event_loop& loop)
{
    // Field 22 of proc(5) stat: clock ticks from boot to the process's start.
    // Field 2 is a name in parentheses that may contain spaces.
    constexpr int fields_after_name = 20;
    std::ifstream in("/proc/self/stat");
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    std::istringstream rest(
        text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string field;
    for (int i = 0; i < fields_after_name; ++i)
    {
        rest >> field;
    }
    const auto ticks_per_second = sysconf(_SC_CLK_TCK);
    int64_t ticks = 0;
    const auto [at, ec] =
        std::from_chars(field.data(), field.data() + field.size(), ticks);
    if (ec != std::errc() || ticks_per_second <= 0)
    {
        return loop.now();
    }
    return time_point(
        std::chrono::microseconds(ticks * 1'000'000 / ticks_per_second));
}

process_metrics::process_metrics(metrics_registry& metrics,
                                 const event_loop& loop, double processor_share,
                                 start_phases phases, log_sink log)
    : metrics_(metrics)
    , loop_(loop)
    , started_(process_start(loop))
    , loop_lag_(metrics.add_distribution(
          {"agatebank_loop_lag_seconds",
           "Time by which the event loop's periodic timer was late.",
           {}}))
    , phases_(std::move(phases))
    , log_(std::move(log))
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
    for (const auto& it : phases_)
    {
        metrics.add_gauge(
            {"agatebank_start_phase_seconds",
             "Time from the start until a phase was complete; 0: not yet.",
             {{"phase", it}}},
            [this, it]
            {
                const auto found = completed_.find(it);
                return found == completed_.end()
                           ? 0
                           : to_seconds(found->second.age);
            });
        metrics.add_gauge({"agatebank_start_phase_cpu_seconds",
                           "Processor time used until a phase was complete.",
                           {{"phase", it}}},
                          [this, it]
                          {
                              const auto found = completed_.find(it);
                              return found == completed_.end()
                                         ? 0
                                         : to_seconds(found->second.processor);
                          });
    }
}

node_observer process_metrics::observer()
{
    return {[this](duration lag)
            { metrics_.observe(loop_lag_, to_seconds(lag)); },
            [this](const char* phase)
            {
                complete(phase);
            }};
}

void process_metrics::complete(const char* phase)
{
    // Phases are reported with each job, so that the end of the start ends this
    // bookkeeping.
    if (start_over_)
    {
        return;
    }
    if (completed_.count(phase) != 0)
    {
        return;
    }
    completed_[phase] = {loop_.now() - started_, processor_time()};
    if (phases_.back() == phase)
    {
        start_over_ = true;
        log_time_line();
    }
}

void process_metrics::log_time_line() const
{
    std::string text;
    for (const auto& it : phases_)
    {
        const auto found = completed_.find(it);
        text += (text.empty() ? "" : ", ") + it + " ";
        text += found == completed_.end()
                    ? "not reached"
                    : to_ms_text(found->second.age) + " (" +
                          to_ms_text(found->second.processor) + ")";
    }
    log_(to_line(log_level::info,
                 "time line of the start, since the process was created (of "
                 "it, processor time used): " +
                     text,
                 step_start));
}

} // namespace agatebank
