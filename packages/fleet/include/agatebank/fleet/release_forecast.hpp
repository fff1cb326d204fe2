#pragma once

#include <agatebank/core/units.hpp>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace agatebank
{

/// @brief Predicts when the processors of a target become free for queued work.
///
/// Load pattern: few long runs hold a target. Its first capacity becomes free
/// when the first of them ends, long before the time in which the target could
/// do all of its work.
class release_forecast
{
  public:
    // construction
    /// @param capacity_millis of the target, in thousandths of a core
    explicit release_forecast(int64_t capacity_millis);

    // modifiers
    /// @param left expected time to the end of a run; negative if it is overdue
    void add_run(duration left, int64_t cpu_millis);
    /// @brief Adds an order that starts before those whose start is asked for
    /// later.
    void add_queued(duration expected_run, int64_t cpu_millis);

    // lookup
    /// @brief Returns the expected time to the start of an order behind those
    /// that were added.
    /// @return nothing if it does not fit at the target
    std::optional<duration> time_to_start(int64_t cpu_millis);

  private:
    int64_t free_millis_;
    /// expected ends of runs and of queued orders once started, as a heap with
    /// the earliest in front
    std::vector<std::pair<duration, int64_t>> ends_;
    duration last_start_{}; ///< of the queued orders added so far
};

} // namespace agatebank
