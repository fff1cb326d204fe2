#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/resources.hpp>
#include <agatebank/core/route_table.hpp>
#include <agatebank/core/strong_id.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// @file
/// Messages between entries about their load and about relayed jobs. Times are
/// relative to the moment of sending, because clocks differ between processes.

namespace agatebank
{

/// @brief Number of a relayed job among those that one entry has relayed. The
/// caller's id does not suffice: a job that was cancelled and submitted again
/// must not get the outcome of the cancelled one.
using relay_id = strong_id<struct relay_id_tag, uint64_t>;

/// @brief Load of an entry, sent to linked entries after a change.
struct entry_load
{
    /// processor time used relative to the entry's share, in thousandths
    uint32_t utilisation_permille = 0;
    uint32_t share_millis = 0; ///< thousandths of a core
    uint32_t running_jobs = 0;
    bool accepts_relays = false; ///< has processor time and a target
    uint32_t job_time_us = 0;    ///< processor time per job, of late

    bool operator==(const entry_load&) const = default;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(utilisation_permille, share_millis, running_jobs, accepts_relays,
           job_time_us);
    }
};

/// @brief One step of a relayed job, see step_plan.
struct relayed_step
{
    uint32_t tasks = 1;
    resources task_resources;
    int64_t declared_run_us = 0;
    std::vector<uint32_t> after;
    std::string required_label;
    std::string data_rack;
    uint32_t max_per_target = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(tasks, task_resources, declared_run_us, after, required_label,
           data_rack, max_per_target);
    }
};

/// @brief The fields of a job's route that a scheduler uses. The second entry
/// may have another version of the configuration, without this route.
struct relayed_route
{
    route_name name;
    service_name service;
    uint32_t priority = 0;
    uint32_t max_attempts = 1;
    double stretch = 1;
    int64_t added_latency_us = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(name, service, priority, max_attempts, stretch, added_latency_us);
    }
};

/// @brief Asks a linked entry to serve a whole job that has not run.
struct relayed_job
{
    relay_id id;
    std::string job; ///< id given by the caller
    relayed_route matched_route;
    config_version version; ///< of the configuration that defines the route
    std::string payload;
    std::vector<relayed_step> steps;
    int64_t spent_us = 0;    ///< since the caller's request arrived
    int64_t deadline_us = 0; ///< until the outcome is useless

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(id, job, matched_route, version, payload, steps, spent_us,
           deadline_us);
    }
};

/// @brief How a relayed job ended.
enum class relay_result : uint8_t
{
    succeeded,
    failed,
    not_run,   ///< refused after an attempt to place it
    abandoned, ///< no result; tasks may have run
    busy       ///< not run: no processor time or no target for it
};

/// @brief The outcome of a relayed job. Sent once: when the link closes, both
/// ends give up the jobs that were relayed over it.
struct relayed_outcome
{
    relay_id id;
    relay_result result = relay_result::abandoned;
    int64_t retry_after_us = 0; ///< set for not_run

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(id, result, retry_after_us);
    }
};

/// @brief The caller of a relayed job has disconnected or cancelled it.
struct relay_cancel
{
    relay_id id;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(id);
    }
};

} // namespace agatebank
