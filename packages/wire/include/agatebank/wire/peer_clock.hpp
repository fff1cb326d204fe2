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
    /// @param opened when the link was opened
    /// @param dialed when this process began to dial, which counts as heard
    /// until the first message; empty if it accepted the connection
    explicit peer_clock(time_point opened,
                        std::optional<time_point> dialed = {});

    // modifiers
    /// @brief Records a heartbeat, before its @ref on_frame. Readings that
    /// can't be right are ignored.
    /// @return whether it is to be answered at once by another heartbeat
    bool on_heartbeat(const heartbeat& beat, time_point now);
    /// @brief Records a message. @return how long it was under way, or longer
    /// while no round trip has been measured
    /// @param sent_us reading of the peer's clock that the message carries
    duration on_frame(int64_t sent_us, time_point now);

    // lookup
    /// @brief A heartbeat that is sent now, without a configuration version.
    heartbeat next_heartbeat(time_point now) const;
    /// @brief Delay of the last message; zero before the first one.
    duration delay() const noexcept;
    /// @brief When the peer sent what was received last, by the own clock.
    time_point last_heard() const noexcept;
    /// @brief Whether a round trip has been measured.
    bool is_measured() const noexcept;
    /// @brief Smallest round trip measured; zero before the first measurement.
    duration round_trip() const noexcept;
    /// @brief Estimate of the peer's clock at @p now, in microseconds. Empty
    /// before the first heartbeat.
    std::optional<int64_t> reading_us(time_point now) const;

  private:
    void on_echo(const heartbeat& beat, time_point now);
    void bound_by_dial(int64_t reading_us, time_point now);

    time_point opened_;
    /// Until the first reading of the peer's clock.
    std::optional<time_point> dialed_;
    time_point last_heard_;
    bool has_frames_ = false; ///< received
    delay_estimator delays_;
    int64_t remote_us_ = 0;
    time_point remote_read_at_;
    unsigned heartbeats_ = 0; ///< received
    std::optional<duration> min_round_trip_;
};

} // namespace agatebank
