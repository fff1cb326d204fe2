#pragma once

#include <agatebank/core/units.hpp>

#include <cstdint>
#include <optional>

namespace agatebank
{

/// @brief Estimates how long the messages of a link were under way, from
/// sending to handling. Neither clock needs to be right, and they may drift
/// apart slowly: the difference of the two clocks is bounded from above by each
/// message, and from below by each reading of the sender's clock that is known
/// to be later than a moment of the own one. A delay counts from the greatest
/// lower bound of the last one to two minutes, so it is at least as long as the
/// real one. Without a lower bound, it is the time by which the message exceeds
/// the fastest one of that time.
class delay_estimator
{
  public:
    // modifiers
    /// @brief Records that the sender's clock showed @p reading_us after the
    /// own one had shown @p before: at the end of a request of this process, or
    /// on a link that it has dialed.
    /// @param now own process clock
    void bound(time_point before, int64_t reading_us, time_point now);
    /// @brief Records a message. @return its delay, not negative
    /// @param sent_us reading of the sender's process clock, in microseconds
    /// @param handled own process clock
    duration observe(int64_t sent_us, time_point handled);

    // lookup
    /// @brief Delay of the last message; zero before the first one.
    duration last() const noexcept;

  private:
    using offset = int64_t; ///< own clock less the sender's, in microseconds

    /// Extremes of the current window and of the one before.
    struct offset_window
    {
        std::optional<offset> smallest; ///< of the messages
        std::optional<offset> lower_bound;
    };

    void advance(time_point now);

    offset_window current_;
    offset_window previous_;
    time_point window_end_;
    duration last_{};
};

} // namespace agatebank
