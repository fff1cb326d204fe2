#pragma once

#include <agatebank/core/units.hpp>

#include <map>
#include <optional>

namespace agatebank
{

/// @brief Place of some work in the order of start, coarse enough that only
/// a few hundred places exist at a time.
struct work_place
{
    bool delayable = true;
    time_point latest_start; ///< rounded down

    auto operator<=>(const work_place&) const = default;
};

/// @brief Amount of work: run time on a target of speed 1.
using work = duration;

/// @brief Waiting work by latest start, for the look-ahead of the admission.
///
/// With a total speed r of the slots, work in the order of start and no slot
/// left idle, a task begins no later than (work ahead + work in flight) / r
/// from now; this holds for any list schedule on equal slots (R. L. Graham,
/// "Bounds on multiprocessing timing anomalies", 1969).
class work_backlog
{
  public:
    // modifiers
    void add(const work_place& place, work amount);
    void remove(const work_place& place, work amount);

    // lookup
    /// @brief The place of a job that waits at most @p wait.
    static work_place place_of(bool delayable, time_point latest_start,
                               duration wait);
    /// @brief Work at this place and before it. @complexity O(places)
    work ahead_of(const work_place& place) const;
    /// @brief Whether @p extra work at @p place still lets all work behind
    /// it begin in time. @param in_flight work in flight
    /// @param speed total speed of the slots, above 0 @complexity O(places)
    bool fits(const work_place& place, work extra, work in_flight, double speed,
              time_point now) const;
    /// @brief Time left until work in the order of latest start would begin
    /// late; negative when some already does. The largest value when nothing
    /// waits. @complexity O(places)
    duration slack(work in_flight, double speed, time_point now) const;
    work total() const noexcept
    {
        return total_;
    }

  private:
    std::map<work_place, work> places_;
    work total_{};
};

/// @brief Time that slots of this total speed need for some work.
duration time_for(work amount, double speed);

} // namespace agatebank
