#pragma once

#include "measures.hpp"

#include <string>
#include <vector>

namespace agatebank::experiment
{

/// @brief One line of a plot.
struct plot_line
{
    std::string name;
    std::vector<double> values; ///< from 0 to 1, one for each ratio plotted
};

/// @brief All runs as comma separated values, one line a run and class.
std::string to_csv(const std::vector<run_measures>& runs);
/// @brief All runs as Markdown tables, one for each site and scenario.
std::string to_markdown(const std::vector<run_measures>& runs);
/// @brief Share answered over the ratio of response to ideal, as SVG.
std::string to_svg(const std::string& title,
                   const std::vector<plot_line>& lines);

} // namespace agatebank::experiment
