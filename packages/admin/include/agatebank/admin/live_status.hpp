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

/// @brief What an entry sees of one target whose agent is connected.
struct target_status
{
    target_name target;
    worker_name worker;
    failure_domain_name failure_domain;
    std::string agent; ///< name of the agent process
    target_state state = target_state::active;
    std::vector<service_name> services;
    unsigned slots = 0;
    unsigned in_flight = 0; ///< starts of this entry without an answer
    bool ejected = false;
    bool accepts_work = false;
    config_version version; ///< in force at the agent
};

enum class process_kind
{
    entry,
    agent
};

/// @brief What an entry knows of one process, itself included.
struct process_status
{
    process_kind kind = process_kind::entry;
    std::string name;
    uint64_t incarnation = 0;
    failure_domain_name failure_domain;
    std::string address;
    config_version version; ///< in force
    bool leaving = false;
    bool reachable = false;
};

/// @brief Whether a process is expected to take a new configuration.
bool must_have_in_force(const process_status& process);

/// @brief Whether a version, or a later one, is in force in every process
/// that is expected to take it.
bool is_in_force_everywhere(const std::vector<process_status>& processes,
                            config_version version);

nlohmann::json to_json(const target_status& status);
nlohmann::json to_json(const process_status& status);
nlohmann::json to_json(const event& e);

} // namespace agatebank
