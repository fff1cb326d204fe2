#pragma once

#include <agatebank/core/units.hpp>

#include <map>
#include <optional>

namespace agatebank
{

/// @brief Bucket of work with nearly the same latest start. Latest starts are
/// rounded so that only a few hundred buckets exist at a time.
struct backlog_bucket
{
    bool delayable = true;
    time_point latest_start; ///< rounded down to the bucket's width

    auto operator<=>(const backlog_bucket&) const = default;
};

/// @brief Amount of work, as run time on a target of speed 1.
using work = duration;

/// @brief Waiting work by latest start, from which admission predicts whether
/// tasks begin in time.
///
/// If slots of total speed r take work in the order of latest start and no
/// slot stays idle, a task begins at most (work ahead + work in flight) / r
/// from now. This holds for any list schedule on equal slots (R. L. Graham,
/// "Bounds on multiprocessing timing anomalies", 1969).
class work_backlog
{
  public:
    // modifiers
    void add(const backlog_bucket& bucket, work amount);
    void remove(const backlog_bucket& bucket, work amount);

    // lookup
    /// @brief Returns the bucket of a job. The longer its wait, the coarser the
    /// rounding, which is at most a sixteenth of the wait.
    /// @param wait longest wait of the job
    static backlog_bucket bucket_of(bool delayable, time_point latest_start,
                                    duration wait);
    /// @brief Sum of the work in @p bucket and before it.
    /// @complexity O(buckets)
    work ahead_of(const backlog_bucket& bucket) const;
    /// @brief Whether all work in @p bucket and after it still begins in time
    /// if @p extra work is added to @p bucket.
    /// @param in_flight work in flight
    /// @param speed total speed of the slots, above 0
    /// @complexity O(buckets)
    bool fits(const backlog_bucket& bucket, work extra, work in_flight,
              double speed, time_point now) const;
    /// @brief Time by which all waiting work can be delayed so that each task
    /// still begins in time, in the order of latest start. Negative if some
    /// work begins late already, the largest duration if nothing waits.
    /// @complexity O(buckets)
    duration slack(work in_flight, double speed, time_point now) const;
    work total() const noexcept
    {
        return total_;
    }

  private:
    std::map<backlog_bucket, work> buckets_;
    work total_{};
};

/// @brief Time that slots of total speed @p speed need for @p amount of work.
duration time_for(work amount, double speed);

} // namespace agatebank
