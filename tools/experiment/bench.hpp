#pragma once

#include <string>

namespace agatebank::experiment
{

/// @brief Measures the processor time of one entry's dispatch decisions for
/// several numbers of targets and queue lengths. @return a Markdown table
std::string bench_decisions();

} // namespace agatebank::experiment
