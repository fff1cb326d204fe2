#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/fleet/order_return.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief One kind of job of a replayed load.
struct replay_kind
{
    std::string name;
    uint32_t tasks = 1;
    duration run_time{}; ///< mean, of one task at speed 1
    double rate = 0;     ///< jobs per second outside the burst
    uint32_t priority = 0;
    double burst = 1; ///< factor on the rate during the burst
};

/// @brief A load on a small service of real schedulers on a virtual clock.
struct replay_options
{
    int entries = 4;
    int targets = 9;
    int64_t target_millis = 32000;
    int64_t task_millis = 3600;
    /// between two load reports of an agent to an entry
    duration report_period = std::chrono::milliseconds(25);
    duration length = std::chrono::seconds(9); ///< arrivals
    duration burst_begin = std::chrono::seconds(2);
    duration burst_end = std::chrono::seconds(7);
    std::vector<replay_kind> kinds;
    order_return_options returns;
    bool shed_load = true;
    bool report_hangs = true;
    /// share of the runs that make no progress, by target
    std::function<double(int target)> hang_share;
    /// whether a target accepts work at a time since the start
    std::function<bool(int target, duration since_start)> is_up;
    /// time for which an entry processes no event from a time since the start
    std::function<duration(int entry, duration since_start)> entry_pause;
    uint64_t seed = 20261204;
};

/// @brief What the callers of one kind of job got.
struct replay_kind_result
{
    int jobs = 0;
    int on_time = 0;
    int late = 0;    ///< by less than three times the objective
    int useless = 0; ///< answered later than that
    int refused = 0;
    int given_up = 0;
    double value = 0;
    double possible_value = 0;
    int largest_jobs = 0;   ///< of the tenth with the most work
    int largest_served = 0; ///< of these, on time or late
    double value_share() const
    {
        return possible_value == 0 ? 1 : value / possible_value;
    }
    double served_share() const
    {
        return jobs == 0 ? 1 : double(on_time + late) / jobs;
    }
};

/// @brief Result of a replay.
struct replay_result
{
    std::map<std::string, replay_kind_result> kinds;
    int overlaps = 0;      ///< tasks that ran twice at once
    int false_not_run = 0; ///< jobs refused although a task had run
    uint64_t returned = 0; ///< orders returned early
    uint64_t moved = 0;
    uint64_t shed = 0;
    int max_returns_of_task = 0;
    std::vector<std::string> decisions;  ///< orders and answers, with times
    std::map<int, int> refused_by_entry; ///< if entry_pause is set
    uint64_t hung_runs = 0;
    uint64_t runs = 0;
    std::vector<uint64_t> runs_by_target;

    bool never_twice() const
    {
        return overlaps == 0 && false_not_run == 0;
    }
    double value_share() const; ///< each kind counts alike
    std::string text() const;
};

replay_result replay(const replay_options& options);

/// @brief Returns the sum over replays with following seeds.
replay_result replay_days(replay_options options, int days);

} // namespace agatebank
