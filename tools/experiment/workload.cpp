#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace agatebank::experiment
{

namespace
{

using namespace std::chrono_literals;

constexpr double median_size_s = 0.2;
constexpr double size_sigma = 0.7; // of the logarithm
constexpr double min_size_s = 0.05;
constexpr double max_size_s = 1;
constexpr double tail_share = 0.02; // of the tasks
constexpr double min_tail_s = 1;
constexpr double max_tail_s = 4;
constexpr double max_declared_error_factor = 10;
constexpr int size_samples = 200000;

duration from_s(double s)
{
    return duration(static_cast<int64_t>(s * 1e6));
}

double draw_size_s(random_source& random)
{
    if (random.uniform() < tail_share)
    {
        return min_tail_s + (max_tail_s - min_tail_s) * random.uniform();
    }
    const double s = median_size_s * std::exp(size_sigma * random.normal());
    return std::clamp(s, min_size_s, max_size_s);
}

double mean_tasks(const patience_class& c)
{
    return c.share_of_singles +
           (1 - c.share_of_singles) * (2 + c.max_tasks) / 2;
}

unsigned draw_tasks(const patience_class& c, random_source& random)
{
    return random.uniform() < c.share_of_singles
               ? 1
               : random.between(2, c.max_tasks);
}

job_arrival draw_job(unsigned patience, const load_profile& profile,
                     unsigned entries, random_source& random)
{
    job_arrival out;
    out.patience = patience;
    out.entry = random.between(0, entries - 1);
    out.always_fails = random.uniform() < profile.always_failing_jobs;
    const auto tasks = draw_tasks(patience_classes[patience], random);
    for (unsigned i = 0; i < tasks; ++i)
    {
        const double size = draw_size_s(random);
        const double error =
            std::pow(max_declared_error_factor, 2 * random.uniform() - 1);
        out.sizes.push_back(from_s(size));
        out.declared.push_back(from_s(size * error));
    }
    return out;
}

// Draws the arrivals of one class as a Poisson process. Arrivals are drawn at
// the burst's rate and thinned outside the burst.
void draw_class(unsigned patience, const load_profile& profile,
                double work_rate, unsigned entries, random_source& random,
                std::vector<job_arrival>& out)
{
    const auto& c = patience_classes[patience];
    const double jobs_per_s =
        work_rate * c.share_of_work / (mean_size_s() * mean_tasks(c));
    const double peak = jobs_per_s * profile.burst_factor;
    time_point at{};
    for (;;)
    {
        at += from_s(random.exponential(1 / peak));
        if (at - time_point{} >= profile.length)
        {
            return;
        }
        const auto elapsed = at - time_point{};
        const bool in_burst =
            elapsed >= profile.burst_from && elapsed < profile.burst_to;
        if (!in_burst && random.uniform() * profile.burst_factor > 1)
        {
            continue;
        }
        out.push_back(draw_job(patience, profile, entries, random));
        out.back().at = at;
    }
}

} // namespace

const std::array<patience_class, 3> patience_classes{{
    {"now", 6s, 0.2, 0.8, 10},
    {"soon", 15s, 0.3, 0.6, 40},
    {"later", 40s, 0.5, 0.3, 120},
}};

double random_source::uniform()
{
    constexpr double unit = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(engine_() >> 11U) * unit;
}

unsigned random_source::between(unsigned a, unsigned b)
{
    return a + static_cast<unsigned>(uniform() * (b - a + 1));
}

double random_source::exponential(double mean)
{
    return -mean * std::log(1 - uniform());
}

// Box-Muller transform.
double random_source::normal()
{
    const double r = std::sqrt(-2 * std::log(1 - uniform()));
    return r * std::cos(2 * std::numbers::pi * uniform());
}

double mean_size_s()
{
    static const double mean = []
    {
        random_source random(1);
        double sum = 0;
        for (int i = 0; i < size_samples; ++i)
        {
            sum += draw_size_s(random);
        }
        return sum / size_samples;
    }();
    return mean;
}

std::vector<job_arrival> make_workload(const load_profile& profile,
                                       double capacity, unsigned entries,
                                       uint64_t seed)
{
    std::vector<job_arrival> out;
    random_source random(seed);
    for (unsigned i = 0; i < patience_classes.size(); ++i)
    {
        draw_class(i, profile, profile.load * capacity, entries, random, out);
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    return out;
}

} // namespace agatebank::experiment
