#include "report.hpp"

#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace agatebank::experiment
{

namespace
{

constexpr double plot_width = 560;
constexpr double plot_height = 300;
constexpr double plot_margin = 60;
constexpr double legend_line = 18;

std::string fixed(double value, int digits)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.*f", digits, value);
    return buf.data();
}

std::string percent(double share)
{
    return fixed(100 * share, 2) + " %";
}

std::string recovery_text(const run_measures& run)
{
    if (!run.recovery)
    {
        return "";
    }
    return fixed(std::chrono::duration<double>(*run.recovery).count(), 2);
}

void write_table_head(std::ostream& os, const run_measures& run)
{
    os << "\n### " << run.site << ", " << run.scenario << "\n\n"
       << "| version | class | offered | admitted | in time of admitted | "
          "in time of offered | median | p99 | worst | wasted per start | "
          "control per start | goodput | recovery s |\n"
       << "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n";
}

void write_class(std::ostream& os, const run_measures& run, std::size_t i)
{
    const auto& c = run.classes[i];
    os << "| " << (i == 0 ? run.version : "") << " | "
       << patience_classes[i].name << " | " << c.offered << " | " << c.admitted
       << " | " << percent(c.share_of_admitted()) << " | "
       << percent(c.share_of_offered()) << " | " << fixed(c.median, 2) << " | "
       << fixed(c.p99, 2) << " | " << fixed(c.worst, 2) << " | ";
    if (i == 0)
    {
        os << fixed(run.wasted_per_start, 4) << " | "
           << fixed(run.control_per_start, 2) << " | " << percent(run.goodput)
           << " | " << recovery_text(run) << " |\n";
        return;
    }
    os << " | | | |\n";
}

double x_of(double ratio)
{
    const double span = std::log(plotted_ratios.back());
    return plot_margin + plot_width * std::log(ratio) / span;
}

double y_of(double share)
{
    return plot_margin + plot_height * (1 - share);
}

void write_axes(std::ostream& os)
{
    for (const double ratio : {1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0})
    {
        os << "<line x1='" << fixed(x_of(ratio), 1) << "' y1='"
           << fixed(y_of(0), 1) << "' x2='" << fixed(x_of(ratio), 1) << "' y2='"
           << fixed(y_of(1), 1) << "' stroke='#ddd'/>\n"
           << "<text x='" << fixed(x_of(ratio), 1) << "' y='"
           << fixed(y_of(0) + legend_line, 1) << "' text-anchor='middle'>"
           << fixed(ratio, 0) << "</text>\n";
    }
    for (const double share : {0.0, 0.25, 0.5, 0.75, 1.0})
    {
        os << "<line x1='" << fixed(x_of(1), 1) << "' y1='"
           << fixed(y_of(share), 1) << "' x2='"
           << fixed(x_of(plotted_ratios.back()), 1) << "' y2='"
           << fixed(y_of(share), 1) << "' stroke='#ddd'/>\n"
           << "<text x='" << fixed(x_of(1) - 8, 1) << "' y='"
           << fixed(y_of(share) + 4, 1) << "' text-anchor='end'>"
           << fixed(100 * share, 0) << " %</text>\n";
    }
}

void write_line(std::ostream& os, const plot_line& line, std::size_t i)
{
    constexpr std::array colours{"#c0392b", "#e67e22", "#2980b9", "#27ae60",
                                 "#8e44ad"};
    const auto* colour = colours[i % colours.size()];
    os << "<polyline fill='none' stroke-width='2' stroke='" << colour
       << "' points='";
    for (std::size_t k = 0; k < line.values.size(); ++k)
    {
        os << fixed(x_of(plotted_ratios[k]), 1) << ","
           << fixed(y_of(line.values[k]), 1) << " ";
    }
    os << "'/>\n<text x='" << fixed(x_of(20), 1) << "' y='"
       << fixed(y_of(0.4) + legend_line * static_cast<double>(i), 1)
       << "' fill='" << colour << "'>" << line.name << "</text>\n";
}

} // namespace

std::string to_csv(const std::vector<run_measures>& runs)
{
    std::ostringstream os;
    os << "site,scenario,version,class,offered,admitted,in_time,cancelled,"
          "share_of_admitted,share_of_offered,median,p99,worst,"
          "wasted_per_start,control_per_start,goodput,share_of_other_entries,"
          "recovery_s\n";
    for (const auto& run : runs)
    {
        for (std::size_t i = 0; i < run.classes.size(); ++i)
        {
            const auto& c = run.classes[i];
            os << run.site << "," << run.scenario << "," << run.version << ","
               << patience_classes[i].name << "," << c.offered << ","
               << c.admitted << "," << c.in_time << "," << c.cancelled << ","
               << fixed(c.share_of_admitted(), 5) << ","
               << fixed(c.share_of_offered(), 5) << "," << fixed(c.median, 3)
               << "," << fixed(c.p99, 3) << "," << fixed(c.worst, 3) << ","
               << fixed(run.wasted_per_start, 5) << ","
               << fixed(run.control_per_start, 3) << ","
               << fixed(run.goodput, 4) << ","
               << fixed(run.in_time_share_of_other_entries, 5) << ","
               << recovery_text(run) << "\n";
        }
    }
    return os.str();
}

std::string to_markdown(const std::vector<run_measures>& runs)
{
    std::ostringstream os;
    const run_measures* last = nullptr;
    for (const auto& run : runs)
    {
        if (last == nullptr || last->site != run.site ||
            last->scenario != run.scenario)
        {
            write_table_head(os, run);
        }
        for (std::size_t i = 0; i < run.classes.size(); ++i)
        {
            write_class(os, run, i);
        }
        last = &run;
    }
    return os.str();
}

std::string to_svg(const std::string& title,
                   const std::vector<plot_line>& lines)
{
    std::ostringstream os;
    os << "<svg xmlns='http://www.w3.org/2000/svg' width='"
       << fixed(plot_width + 2 * plot_margin, 0) << "' height='"
       << fixed(plot_height + 2 * plot_margin, 0)
       << "' font-family='sans-serif' font-size='12'>\n"
       << "<rect width='100%' height='100%' fill='white'/>\n"
       << "<text x='" << fixed(plot_margin, 0) << "' y='30' font-size='14'>"
       << title << "</text>\n"
       << "<text x='" << fixed(plot_margin + plot_width / 2, 0) << "' y='"
       << fixed(plot_height + 2 * plot_margin - 12, 0)
       << "' text-anchor='middle'>response time over the ideal</text>\n";
    write_axes(os);
    for (std::size_t i = 0; i < lines.size(); ++i)
    {
        write_line(os, lines[i], i);
    }
    os << "</svg>\n";
    return os.str();
}

} // namespace agatebank::experiment
