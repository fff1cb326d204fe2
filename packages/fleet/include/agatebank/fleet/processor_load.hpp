#pragma once

#include <agatebank/core/units.hpp>

#include <deque>
#include <optional>

namespace agatebank
{

/// @brief Measures how much of its processor share a process uses, over the
/// last 250 to 500 ms, and decides with hysteresis whether it exceeds its share
/// or has some to spare.
///
/// Load pattern: a wave that sends 190 to 300 jobs/s to an entry with 0.12
/// cores, beside entries of 0.5 cores. A process that is throttled never
/// measures much more than 1, so "over" begins below 1: at 0.8, a job that
/// takes 8 ms of a throttled processor waits about 16 ms for it.
class processor_load
{
  public:
    // construction
    /// @param share cores that the process may use; 0: not limited. A process
    /// with one thread uses at most one core, whatever its share.
    explicit processor_load(double share);

    // modifiers
    /// @param processor_time used by the process since its start
    void add_sample(time_point now, duration processor_time);

    // lookup
    /// @brief Returns the utilisation of the share.
    /// @return nothing before the samples span 250 ms
    std::optional<double> utilisation() const noexcept;
    /// @brief Whether the process exceeds its share: from 0.8 until below 0.65.
    bool over() const noexcept;
    /// @brief Whether the process has processor time to spare: from 0.5
    /// downwards until 0.6 is exceeded.
    bool spare() const noexcept;
    /// @brief Cores that the process can use.
    double share() const noexcept;

  private:
    struct sample
    {
        time_point at;
        duration processor_time{};
    };

    double share_;
    std::deque<sample> samples_;
    std::optional<double> utilisation_;
    bool over_ = false;
    bool spare_ = false;
};

} // namespace agatebank
