#pragma once

#include <cstdint>
#include <string>

namespace agatebank
{

/// @brief Formats a time in UTC with microseconds, such as
/// 2026-01-31T23:59:59.000001Z.
/// @param wall_us microseconds since the Unix epoch
std::string to_utc_text(uint64_t wall_us);

} // namespace agatebank
