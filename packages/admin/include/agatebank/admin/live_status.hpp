#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/event.hpp>
#include <agatebank/core/ids.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief What an entry has recorded about one target whose agent it has not
/// declared lost.
struct target_status
{
    target_name target;
    worker_name worker;
    failure_domain_name failure_domain;
    std::string agent; ///< name of the agent process
    target_state state = target_state::active;
    std::vector<service_name> services;
    unsigned slots = 0;
    unsigned in_flight = 0; ///< starts of this entry without a report
    bool ejected = false;   ///< excluded from dispatch for a while
    bool accepts_work = false;
    config_version version; ///< that the agent applies
};

enum class process_kind
{
    entry,
    agent
};

/// @brief What an entry has recorded about one process: itself, another entry
/// or an agent.
struct process_status
{
    process_kind kind = process_kind::entry;
    std::string name;
    uint64_t incarnation = 0;
    failure_domain_name failure_domain;
    std::string address;
    config_version version; ///< that the process applies
    bool leaving = false;
    bool reachable = false;
};

/// @brief Whether a process is expected to apply new configurations: it is
/// reachable and not leaving.
bool must_apply_configuration(const process_status& process);

/// @brief Whether every process that is expected to apply new configurations
/// applies @p version or a later one.
bool is_in_force_everywhere(const std::vector<process_status>& processes,
                            config_version version);

nlohmann::json to_json(const target_status& status);
nlohmann::json to_json(const process_status& status);
nlohmann::json to_json(const event& e);

} // namespace agatebank
