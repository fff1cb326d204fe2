#pragma once

#include <agatebank/core/resources.hpp>
#include <agatebank/core/units.hpp>

#include <map>

namespace agatebank
{

/// @brief A run, or an order that waits, at one target.
struct queued_work
{
    resources needed;
    duration run{}; ///< expected run time; of a run: the time left
    bool isolated = false;
};

/// @brief Estimates when queued orders start at one target, which starts them
/// in the order of their rank as soon as the first one fits.
///
/// Load pattern: short orders behind long runs. Work ahead divided by the
/// capacity is far too long for an order that only waits for the next end, and
/// too short for one that needs a large part of the target.
class start_estimator
{
  public:
    // construction
    explicit start_estimator(const resources& capacity);

    // modifiers
    void add_started(const queued_work& run);
    /// @brief Adds the next order in rank.
    void add(const queued_work& order);

    // lookup
    /// @brief Returns the expected time until the next order in rank starts. An
    /// order that needs more than the capacity is estimated to start when all
    /// work before it has ended.
    /// @complexity linear in the runs that end before it
    duration start_of(const queued_work& order) const;

  private:
    resources reserved_by(const queued_work& work) const;

    resources capacity_;
    resources used_;   ///< at clock_
    duration clock_{}; ///< start of the last order
    std::multimap<duration, resources> ends_;
};

} // namespace agatebank
