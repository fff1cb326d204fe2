#pragma once

#include "demo_run.hpp"
#include <agatebank/harness/ledger.hpp>

#include <ostream>

namespace agatebank
{

/// @brief Prints one row for each patience class: counts, median and 99th
/// percentile of the response time over the ideal, price and messages. The
/// ideal is the run time of the job's longest task on the fastest target
/// that may serve it.
void print_table(std::ostream& out, const demo_plan& plan,
                 const std::vector<job_outcome>& outcomes);

/// @brief Prints the closing line of the demo.
void print_summary(std::ostream& out, const std::vector<job_outcome>& outcomes,
                   const ledger& starts);

} // namespace agatebank
