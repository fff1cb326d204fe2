#pragma once

#include <compare>
#include <cstdint>

namespace agatebank
{

/// @brief An amount of resources: processor time, memory and accelerators.
struct resources
{
    int64_t cpu_millis = 0; ///< thousandths of a core
    int64_t memory_mb = 0;
    int64_t gpus = 0;

    auto operator<=>(const resources&) const = default;

    /// @brief Whether each resource of @p needed is at most the one here.
    bool can_fit(const resources& needed) const noexcept
    {
        return needed.cpu_millis <= cpu_millis &&
               needed.memory_mb <= memory_mb && needed.gpus <= gpus;
    }

    resources& operator+=(const resources& other) noexcept
    {
        cpu_millis += other.cpu_millis;
        memory_mb += other.memory_mb;
        gpus += other.gpus;
        return *this;
    }

    resources& operator-=(const resources& other) noexcept
    {
        cpu_millis -= other.cpu_millis;
        memory_mb -= other.memory_mb;
        gpus -= other.gpus;
        return *this;
    }

    friend resources operator+(resources a, const resources& b) noexcept
    {
        return a += b;
    }

    friend resources operator-(resources a, const resources& b) noexcept
    {
        return a -= b;
    }

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(cpu_millis, memory_mb, gpus);
    }
};

} // namespace agatebank
