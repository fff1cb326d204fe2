#pragma once

#include <agatebank/agent/agent_process.hpp>
#include <agatebank/observe/metrics_registry.hpp>

namespace agatebank
{

/// @brief Adds the gauges of an agent to a registry. The gauges read the agent,
/// so it must outlive every read of @p metrics.
void add_agent_metrics(metrics_registry& metrics, const agent_process& agent);

} // namespace agatebank
