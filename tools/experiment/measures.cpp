#include "measures.hpp"

#include <algorithm>
#include <cmath>

namespace agatebank::experiment
{

namespace
{

using namespace std::chrono_literals;

constexpr duration recovery_window = 1s;
constexpr duration recovery_step = 250ms;
constexpr duration recovery_horizon = 30s;
constexpr double recovered_ratio = 1.25;

bool is_measured(const job_outcome& job)
{
    return !job.always_fails && job.sent - time_point{} >= warm_up;
}

double ratio_of(const job_outcome& job)
{
    return static_cast<double>(job.response.count()) /
           static_cast<double>(job.ideal.count());
}

// Quantile of sorted values, by the nearest index; 0 if there are no values.
double quantile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
    {
        return 0;
    }
    const auto n = static_cast<double>(sorted.size());
    const auto at = static_cast<std::size_t>(std::lround(share * (n - 1)));
    return sorted[at];
}

class_measures measure_class(unsigned patience, const run_result& run)
{
    class_measures out;
    std::vector<double> ratios;
    for (const auto& job : run.jobs)
    {
        if (job.patience != patience || !is_measured(job))
        {
            continue;
        }
        ++out.offered;
        out.admitted += job.end != job_end::refused ? 1 : 0;
        out.cancelled += job.end == job_end::cancelled ? 1 : 0;
        if (job.end == job_end::complete)
        {
            ++out.in_time;
            ratios.push_back(ratio_of(job));
        }
    }
    std::sort(ratios.begin(), ratios.end());
    out.median = quantile(ratios, 0.5);
    out.p99 = quantile(ratios, 0.99);
    out.worst = ratios.empty() ? 0 : ratios.back();
    return out;
}

double share(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 1
                      : static_cast<double>(part) / static_cast<double>(whole);
}

// Whether all jobs of the most expensive class that were sent in the window
// starting at @p from were completed in time, and their median ratio of
// response to ideal time is at most @ref recovered_ratio.
bool is_recovered(const run_result& run, time_point from)
{
    std::vector<double> ratios;
    for (const auto& job : run.jobs)
    {
        if (job.patience != 0 || job.sent < from ||
            job.sent >= from + recovery_window)
        {
            continue;
        }
        if (job.end != job_end::complete)
        {
            return false;
        }
        ratios.push_back(ratio_of(job));
    }
    std::sort(ratios.begin(), ratios.end());
    return quantile(ratios, 0.5) <= recovered_ratio;
}

// Time from the end of the burst to the first window that is recovered.
std::optional<duration> recovery_time(const scenario& sc, const run_result& run)
{
    if (sc.load.burst_factor <= 1)
    {
        return std::nullopt;
    }
    for (duration after{}; after < recovery_horizon; after += recovery_step)
    {
        if (is_recovered(run, time_point{} + sc.load.burst_to + after))
        {
            return after;
        }
    }
    return recovery_horizon;
}

// Share of the admitted jobs that were completed in time, at all entries except
// the first, which is the one that the scenario may lose.
double in_time_share_except_first(const run_result& run)
{
    std::size_t admitted = 0;
    std::size_t in_time = 0;
    for (const auto& job : run.jobs)
    {
        if (job.entry != 0 && is_measured(job) && job.end != job_end::refused)
        {
            ++admitted;
            in_time += job.end == job_end::complete ? 1 : 0;
        }
    }
    return share(in_time, admitted);
}

} // namespace

const std::vector<double> plotted_ratios{1, 1.05, 1.1, 1.25, 1.5, 2,  3,  4,
                                         6, 8,    12,  16,   24,  32, 64, 128};

double class_measures::share_of_admitted() const
{
    return share(in_time, admitted - cancelled);
}

double class_measures::share_of_offered() const
{
    return share(in_time, offered - cancelled);
}

run_measures measure(const site& s, const scenario& sc,
                     const policy_version& version, const run_result& run)
{
    run_measures out;
    out.site = s.name;
    out.scenario = sc.name;
    out.version = version.name;
    for (unsigned i = 0; i < patience_classes.size(); ++i)
    {
        out.classes[i] = measure_class(i, run);
    }
    const auto useful =
        static_cast<double>(std::max<uint64_t>(run.messages.useful_starts, 1));
    out.goodput = run.goodput;
    out.wasted_per_start = static_cast<double>(run.messages.wasted()) / useful;
    out.control_per_start = static_cast<double>(run.messages.control) / useful;
    out.in_time_share_of_other_entries = in_time_share_except_first(run);
    out.recovery = recovery_time(sc, run);
    return out;
}

std::vector<double> answered_within(const run_result& run)
{
    std::vector<double> out;
    for (const double limit : plotted_ratios)
    {
        std::size_t offered = 0;
        std::size_t within = 0;
        for (const auto& job : run.jobs)
        {
            if (job.patience == 0 && is_measured(job))
            {
                ++offered;
                within += job.end == job_end::complete && ratio_of(job) <= limit
                              ? 1
                              : 0;
            }
        }
        out.push_back(share(within, offered));
    }
    return out;
}

} // namespace agatebank::experiment
