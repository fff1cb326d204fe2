#pragma once

#include <agatebank/core/units.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace agatebank
{

/// @brief Multiplies a duration, truncating to whole microseconds.
inline duration scale(duration d, double factor)
{
    return duration(
        static_cast<int64_t>(static_cast<double>(d.count()) * factor));
}

/// @brief Formats a duration in whole milliseconds, such as "25 ms".
inline std::string to_ms_text(duration d)
{
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(d)
                   .count()) +
           " ms";
}

} // namespace agatebank
