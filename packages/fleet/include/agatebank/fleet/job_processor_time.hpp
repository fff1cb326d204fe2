#pragma once

#include <agatebank/core/units.hpp>

#include <cstdint>
#include <deque>

namespace agatebank
{

/// @brief What a process has used and done since its start.
struct entry_work
{
    duration processor_time{};
    uint64_t served_jobs = 0;
    uint64_t relayed_jobs = 0; ///< to other entries
};

/// @brief Estimates the processor time that an entry uses per job, over the
/// last 5 s, from the totals of the process.
///
/// Load pattern: a wave in which an entry over its share relays a part of its
/// jobs. The time per served and per relayed job is fitted to intervals of
/// 500 ms with different numbers of each. Where all intervals have the same
/// mix, the two have the ratio known from before.
class job_processor_time
{
  public:
    // construction
    job_processor_time();

    // modifiers
    void add_sample(time_point now, const entry_work& work);

    // lookup
    /// @brief Processor time per job, served or relayed. 1.2 ms until jobs have
    /// been measured; without jobs, the last value measured.
    duration mean() const noexcept;
    /// @brief Processor time of a job that this entry serves.
    duration serving() const noexcept;
    /// @brief Processor time of a job that this entry relays.
    duration relaying() const noexcept;

  private:
    struct interval
    {
        double served = 0;
        double relayed = 0;
        double processor_us = 0;
    };

    void fit(time_point now);

    std::deque<interval> intervals_;
    bool started_ = false;
    time_point interval_begin_;
    entry_work at_begin_;
    double mean_us_;
    double serving_us_;
    double relay_ratio_; ///< relaying over serving
    time_point ratio_measured_;
};

} // namespace agatebank
