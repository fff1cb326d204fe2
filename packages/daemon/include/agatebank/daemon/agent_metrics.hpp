#pragma once

#include <agatebank/agent/agent_process.hpp>
#include <agatebank/observe/metrics_registry.hpp>

namespace agatebank
{

/// @brief Adds the gauges of an agent; the agent must outlive the registry's
/// use.
void add_agent_metrics(metrics_registry& metrics, const agent_process& agent);

} // namespace agatebank
