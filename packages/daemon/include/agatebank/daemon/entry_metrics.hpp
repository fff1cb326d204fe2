#pragma once

#include <agatebank/entry/entry_process.hpp>
#include <agatebank/observe/metrics_registry.hpp>

namespace agatebank
{

/// @brief Adds the gauges of an entry to a registry. The gauges read the entry,
/// so it must outlive every read of @p metrics.
void add_entry_metrics(metrics_registry& metrics, const entry_process& entry);

} // namespace agatebank
