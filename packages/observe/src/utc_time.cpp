#include "utc_time.hpp"

#include <array>
#include <cstdio>
#include <ctime>

#include <time.h>

namespace agatebank
{

namespace
{

constexpr uint64_t us_per_s = 1000000;

} // namespace

std::string to_utc_text(uint64_t wall_us)
{
    const auto seconds = static_cast<std::time_t>(wall_us / us_per_s);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> day{};
    std::strftime(day.data(), day.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, sizeof ".000000Z"> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%06uZ",
                  static_cast<unsigned>(wall_us % us_per_s));
    return std::string(day.data()) + fraction.data();
}

} // namespace agatebank
