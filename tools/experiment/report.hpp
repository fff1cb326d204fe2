#pragma once

#include "measures.hpp"

#include <string>
#include <vector>

namespace agatebank::experiment
{

/// @brief A line of a plot.
struct plot_line
{
    std::string name;
    std::vector<double> values; ///< from 0 to 1, one per plotted ratio
};

/// @brief All runs as comma-separated values, one line per run and class.
std::string to_csv(const std::vector<run_measures>& runs);
/// @brief All runs as Markdown tables, one per site and scenario.
std::string to_markdown(const std::vector<run_measures>& runs);
/// @brief An SVG plot of the share of jobs answered within each ratio of
/// response to ideal time.
std::string to_svg(const std::string& title,
                   const std::vector<plot_line>& lines);

} // namespace agatebank::experiment
