#pragma once

#include <agatebank/node/agent_node.hpp>
#include <agatebank/node/entry_node.hpp>
#include <agatebank/observe/metrics_registry.hpp>

namespace agatebank
{

/// @brief Adds the gauges of a node; the node must outlive the registry's
/// use.
void add_node_metrics(metrics_registry& metrics, const entry_node& node);
void add_node_metrics(metrics_registry& metrics, const agent_node& node);

} // namespace agatebank
