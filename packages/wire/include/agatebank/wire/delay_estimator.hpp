#pragma once

#include <agatebank/core/units.hpp>

#include <cstdint>
#include <optional>

namespace agatebank
{

/// @brief Estimates how long the messages of a link were under way: the time
/// from sending to handling by which a message exceeds the fastest one of the
/// last one to two minutes. Only differences count, so the clocks of the two
/// processes needn't agree, and may drift apart slowly.
class delay_estimator
{
  public:
    // modifiers
    /// @brief Records a message. @return its delay, not negative
    /// @param sent reading of the sender's process clock, in microseconds
    /// @param handled own process clock
    duration observe(int64_t sent_us, time_point handled);

    // lookup
    /// @brief Delay of the last message; zero before the first one.
    duration last() const noexcept;

  private:
    using offset = int64_t; ///< own clock less the sender's, in microseconds

    std::optional<offset> smallest_;          ///< in the current window
    std::optional<offset> previous_smallest_; ///< in the window before
    time_point window_end_;
    duration last_{};
};

} // namespace agatebank
