#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/resources.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Properties of a target. Only its capacity changes within an
/// incarnation.
struct target_profile
{
    std::string target; ///< id under which the target announces itself
    target_incarnation
        incarnation; ///< a later incarnation may be another machine
    service_name service;
    failure_domain_name failure_domain;
    resources capacity;
    std::string kind; ///< targets of one kind are assumed to be equally fast
    std::vector<std::string> labels; ///< including the kind and the rack

    auto operator<=>(const target_profile&) const = default;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(target, incarnation, service, failure_domain, capacity, kind,
           labels);
    }
};

/// @brief Number of priority bands. Larger priority values share the last band.
constexpr std::size_t priority_bands = 4;

/// @brief Returns the band of a route's priority.
inline std::size_t to_band(uint32_t priority) noexcept
{
    return priority < priority_bands ? priority : priority_bands - 1;
}

/// @brief Current load of a target as reported by its agent.
struct target_load
{
    bool accepts_work = false; ///< false: absent, draining, stopping
    bool suspect = false;      ///< most of the latest runs failed or stalled
    resources capacity;        ///< in force now
    resources used;
    std::array<int64_t, priority_bands> queued_cpu_millis{};
    int64_t mean_run_us = 0; ///< expected, over running and queued orders
    double slowdown = 1;     ///< measured run time / expected run time
    /// learned by the agent, in the scale of run_order::reference_us; 0:
    /// unknown
    double speed = 0;
    uint64_t last_order_received =
        0;                 ///< id of the last order received on this link
    double hang_share = 0; ///< runs without progress, of the latest runs
    /// whether the target has just started or become cold, so that its runs
    /// take longer
    bool cold = false;

    bool operator==(const target_load&) const = default;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(accepts_work, suspect, capacity, used);
        for (auto& it : queued_cpu_millis)
        {
            ar(it);
        }
        ar(mean_run_us, slowdown, speed, last_order_received, hang_share, cold);
    }
};

} // namespace agatebank
