#pragma once

#include <agatebank/entry/entry_process.hpp>
#include <agatebank/observe/metrics_registry.hpp>

namespace agatebank
{

/// @brief Adds the gauges of an entry; the entry must outlive the registry's
/// use.
void add_entry_metrics(metrics_registry& metrics, const entry_process& entry);

} // namespace agatebank
