#pragma once

#include <string>

namespace agatebank::experiment
{

/// @brief Measures the processor time of the decisions of one entry with long
/// queues, for some numbers of targets. @return a Markdown table
std::string bench_decisions();

} // namespace agatebank::experiment
