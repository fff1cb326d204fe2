#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace agatebank
{

/// @brief Timestamp of a hybrid logical clock: wall time and a counter that
/// orders events within a microsecond or when clocks differ.
struct hybrid_stamp
{
    uint64_t wall_us = 0; ///< microseconds since the Unix epoch
    uint32_t counter = 0;

    auto operator<=>(const hybrid_stamp&) const = default;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(wall_us, counter);
    }
};

/// @brief Hybrid logical clock of one process (Kulkarni et al. 2014).
/// Timestamps always increase, and the receipt of a message has a later
/// timestamp than its sending.
class hybrid_clock
{
  public:
    /// @brief Reads the wall clock in microseconds since the Unix epoch.
    using wall_clock = std::function<uint64_t()>;

    explicit hybrid_clock(wall_clock wall);

    /// @brief Returns the timestamp of a local event or of a message to send.
    hybrid_stamp tick();
    /// @brief Returns the timestamp of the receipt of a message.
    /// @param remote timestamp of the message
    hybrid_stamp receive(const hybrid_stamp& remote);

  private:
    wall_clock wall_;
    hybrid_stamp last_;
};

} // namespace agatebank
