#pragma once

#include <agatebank/wire/delay_estimator.hpp>
#include <agatebank/wire/messages.hpp>

#include <cstdint>
#include <optional>

namespace agatebank
{

/// @brief What a link knows of its peer's clock: the delay of what it received,
/// how recently the peer sent something, and the round trip.
class peer_clock
{
  public:
    // construction
    explicit peer_clock(time_point opened);

    // modifiers
    /// @brief Records a message. @return how long it was under way
    /// @param sent_us reading of the peer's clock that the message carries
    duration on_frame(int64_t sent_us, time_point now);
    /// @brief Records a heartbeat, after its @ref on_frame.
    void on_heartbeat(const heartbeat& beat, time_point now);
    /// @brief Counts what the peer sent as sent at @p t, at least.
    void set_heard(time_point t);

    // lookup
    /// @brief A heartbeat that is sent now, without a configuration version.
    heartbeat next_heartbeat(time_point now) const;
    /// @brief Delay of the last message; zero before the first one.
    duration delay() const noexcept;
    /// @brief When the peer sent what was received last, by the own clock.
    time_point last_heard() const noexcept;
    /// @brief Smallest round trip measured; zero before the first measurement.
    duration round_trip() const noexcept;
    /// @brief Estimate of the peer's clock at @p now, in microseconds. Empty
    /// before the first heartbeat.
    std::optional<int64_t> reading_us(time_point now) const;

  private:
    time_point last_heard_;
    delay_estimator delays_;
    int64_t remote_us_ = 0;
    time_point remote_read_at_;
    bool has_reading_ = false;
    duration min_round_trip_{};
};

} // namespace agatebank
