#pragma once

#include "demo_run.hpp"
#include <agatebank/harness/ledger.hpp>

#include <ostream>

namespace agatebank
{

/// @brief Prints one row for each patience class: job counts, median and 99th
/// percentile of the ratio of response time to ideal time, price, and messages
/// per task. The ideal time is the run time of the job's longest task on the
/// fastest target that may serve it.
void print_table(std::ostream& out, const demo_plan& plan,
                 const std::vector<job_outcome>& outcomes);

/// @brief Prints the summary line at the end of the demo.
void print_summary(std::ostream& out, const std::vector<job_outcome>& outcomes,
                   const ledger& starts);

} // namespace agatebank
