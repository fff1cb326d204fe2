#pragma once

#include <agatebank/node/agent_node.hpp>
#include <agatebank/node/entry_node.hpp>
#include <agatebank/observe/metrics_registry.hpp>

#include <platform/job_explainer.hpp>

namespace agatebank
{

/// @brief Adds the gauges of an entry to a registry. The gauges read @p node,
/// which must outlive every read of @p metrics.
void add_node_metrics(metrics_registry& metrics, const entry_node& node);
/// @brief Adds the gauges of an agent; see the overload for an entry.
void add_node_metrics(metrics_registry& metrics, const agent_node& node);
/// @brief Adds the counts of explained jobs to a registry. The gauges read
/// @p explainer, which must outlive every read of @p metrics.
void add_explainer_metrics(metrics_registry& metrics,
                           const platform::job_explainer& explainer);

} // namespace agatebank
