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

/// @brief Metrics of the process itself: its processor time and share, the lag
/// of its event loop, and when each phase of its start was complete.
class process_metrics
{
  public:
    // construction
    /// @param processor_share cores that the process may use; 0: not limited
    /// @param phases names of the phases that the process will report
    process_metrics(metrics_registry& metrics, const event_loop& loop,
                    double processor_share,
                    const std::vector<std::string>& phases);

    /// @brief The hooks that record what a node reports. They must not outlive
    /// this object.
    node_observer observer();

  private:
    metrics_registry& metrics_;
    const event_loop& loop_;
    time_point started_;
    distribution_id loop_lag_;
    std::map<std::string, duration> phases_; ///< those that are complete
};

} // namespace agatebank
