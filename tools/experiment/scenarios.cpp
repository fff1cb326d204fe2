#include "scenarios.hpp"

#include <algorithm>
#include <numeric>

namespace agatebank::experiment
{

namespace
{

using namespace std::chrono_literals;

const std::vector<double> target_speeds{2, 2, 1, 1, 1, 1, 1, 1, 0.5, 0.5};

} // namespace

double site::capacity() const
{
    return slots * std::accumulate(speeds.begin(), speeds.end(), 0.0);
}

double site::max_speed() const
{
    return *std::max_element(speeds.begin(), speeds.end());
}

std::vector<site> all_sites()
{
    return {
        {"kitami", 1500us, 3000us, 3, 8, target_speeds, 11},
        {"niederaltbach", 1000us, 1000us, 3, 8, target_speeds, 12},
    };
}

std::vector<scenario> all_scenarios(bool quick)
{
    const duration length = quick ? 15s : 60s;
    const duration long_length = quick ? 20s : 180s;
    const duration from = quick ? 6s : 20s;
    const duration to = quick ? 9s : 40s;
    const duration burst = quick ? 3s : 10s;
    const load_profile normal{.load = 0.8, .length = length};
    auto bursting = normal;
    bursting.load = 0.6;
    bursting.burst_factor = 5;
    bursting.burst_from = from;
    bursting.burst_to = from + burst;
    auto with_failing_jobs = normal;
    with_failing_jobs.always_failing_jobs = 0.05;
    const load_profile overload{.load = 1.2, .length = length};
    return {
        {"load 50 %", {.load = 0.5, .length = length}},
        {.name = "load 80 %", .load = normal, .compares_variants = true},
        {.name = "load 95 %",
         .load = {.load = 0.95, .length = long_length},
         .compares_variants = true},
        {.name = "load 120 %",
         .load = {.load = 1.2, .length = long_length},
         .compares_variants = true},
        {.name = "burst of 5 times",
         .load = bursting,
         .compares_variants = true},
        {"target fails fast", normal, fault_kind::fast_failure, from, to, true},
        {"target hangs", normal, fault_kind::hang, from, to, true},
        {"target 6 times slower", normal, fault_kind::slow_target, from, to},
        {"5 % of jobs never run", with_failing_jobs},
        {"30 % of the queue cancelled", overload, fault_kind::cancellation,
         from, to, true},
        {"entry lost", normal, fault_kind::entry_lost, from, to},
        {"rack of three lost", normal, fault_kind::rack_lost, from, to},
    };
}

} // namespace agatebank::experiment
