#pragma once

#include <agatebank/core/units.hpp>

#include <cstddef>

namespace agatebank
{

/// @brief What is known of a route whose tasks crash their targets.
struct probation_input
{
    std::size_t targets = 0; ///< of the service, also those that are away
    /// that are away and are no probation targets, or don't accept work
    std::size_t away_targets = 0;
    /// taken by running and waiting tasks of the service, in targets
    double busy_targets = 0;
    double crashing_jobs_per_s = 0;
    double crashes_per_job = 0; ///< if its jobs ran like any other
    duration time_away{};       ///< of a target after a crash
    double jobs_per_s = 0;      ///< submitted to all entries
    /// time for which a harmless first task occupies a probation target
    duration first_task_time{};
    /// share of the service's work that the route submits, 0 to 1
    double work_share = 0;
    /// share of a job's value that is lost as its first task runs first
    double loss_when_served = 0;
};

/// @brief How many targets contain the crashes of a route, and at what cost.
struct probation_size
{
    std::size_t targets = 0;  ///< 0: its jobs run like any other
    double refused_share = 0; ///< of the route's jobs
    /// shares of the service's value that are expected to be lost
    double containment_loss = 0;
    double crash_loss = 0;
};

/// @brief Weighs what probation refuses against what crashes take.
///
/// Load pattern: a small share of a busy route's jobs crash their targets. With
/// a fixed number of probation targets, most of its harmless jobs are refused
/// while targets are free; with none, the crashes take the targets of all.
///
/// A probation target serves one first task at a time and is away after a
/// crash, so the route needs jobs/s x time of a first task plus crashing jobs/s
/// x time away, in targets. It gets as many as the other work leaves of the
/// targets that are there. Without
/// probation, crashing jobs/s x crashes per job x time away of the targets are
/// lost to all routes. Probation ends where it loses more than that, and the
/// other routes lose no more than 5 % either way.
/// @complexity constant
probation_size size_probation(const probation_input& in);

/// @brief The most probation targets of a service: half of them, at least one.
std::size_t max_probation_targets(std::size_t targets);

} // namespace agatebank
