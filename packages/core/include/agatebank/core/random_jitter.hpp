#pragma once

#include <agatebank/core/units.hpp>

#include <cstdint>
#include <random>

namespace agatebank
{

/// @brief Longest pause that @ref random_jitter::spread returns.
constexpr duration longest_spread(duration pause)
{
    return pause + pause / 2;
}

/// @brief Multiplies pauses by a seeded random factor, so that processes that
/// pause at the same time do not retry at the same time.
class random_jitter
{
  public:
    // construction
    explicit random_jitter(uint64_t seed) : engine_(seed) {}

    // modifiers
    /// @brief Returns a pause between 0.5 and 1.5 times @p pause.
    duration spread(duration pause)
    {
        constexpr double unit = 1.0 / 9007199254740992.0; // 2^-53
        const double r = static_cast<double>(engine_() >> 11U) * unit;
        return duration(static_cast<int64_t>(
            static_cast<double>(pause.count()) * (0.5 + r)));
    }

  private:
    std::mt19937_64 engine_;
};

} // namespace agatebank
