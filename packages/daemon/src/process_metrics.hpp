#pragma once

#include <agatebank/node/node_context.hpp>
#include <agatebank/observe/metrics_registry.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Returns the processor time that the process has used.
duration processor_time();

/// @brief Returns when the process was created, within the 10 ms that the
/// kernel keeps, on the clock of event_loop. The present time if the kernel's
/// record can't be read.
time_point process_start(const event_loop& loop);

/// @brief Phases of the start that a process will report, in their usual order.
/// The start is over with the last one.
using start_phases = std::vector<std::string>;

/// @brief Metrics of the process itself: its processor time and share, the lag
/// of its event loop, and when each phase of its start was complete. Logs these
/// times once, when the last phase is complete.
class process_metrics
{
  public:
    // construction
    /// @param processor_share cores that the process may use; 0: not limited
    process_metrics(metrics_registry& metrics, const event_loop& loop,
                    double processor_share, start_phases phases, log_sink log);

    /// @brief The hooks that record what a node reports. They must not outlive
    /// this object.
    node_observer observer();

    // modifiers
    /// @brief A phase of the start is complete. Has no effect if it was before.
    void complete(const char* phase);

  private:
    /// Time of a phase since the process was created.
    struct phase_time
    {
        duration age{};
        duration processor{}; ///< used by the process until then
    };

    void log_time_line() const;

    metrics_registry& metrics_;
    const event_loop& loop_;
    time_point started_;
    distribution_id loop_lag_;
    start_phases phases_;
    log_sink log_;
    std::map<std::string, phase_time> completed_;
    bool start_over_ = false;
};

} // namespace agatebank
