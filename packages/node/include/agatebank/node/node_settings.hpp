#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/wire/tcp_connector.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace agatebank
{

/// @brief Settings of a process that is deployed by the platform: the common
/// fields and the "node" section of the settings file. Endpoints are written
/// as "IP:port".
struct node_settings
{
    std::string name;
    failure_domain_name failure_domain;
    std::string log_level = "info";
    std::string address; ///< entry: IP address that it listens on
    /// entry: IP address under which other processes reach its links; empty:
    /// the one that it listens on
    std::string advertised_address;
    uint16_t link_port = 0;      ///< for links; the same for all entries
    std::vector<endpoint> seeds; ///< link addresses of entries to dial first
    /// cores that the process may use on average; 0: not limited
    double processor_share = 0;
    endpoint metrics;          ///< serves metrics
    endpoint callers;          ///< entry: serves callers
    endpoint readiness;        ///< entry: serves readiness checks
    std::string table_service; ///< entry: address of the table service
    /// entry: from the time when the table service answers again, after it was
    /// silent, until its changes have to be in force
    duration table_silence_limit = std::chrono::milliseconds(3000);
    endpoint announcements; ///< agent: receives the target's announcements
    std::string target;     ///< agent: address of the target
    duration max_lease = std::chrono::milliseconds(1000);
    /// agent: whether queued orders that would end late, or while their answer
    /// is useless, are returned to the entry
    bool order_returns = false;
    /// entry: multiple of the run time away from the data's rack
    double remote_data_factor = 1;
    /// entry: period in which each target announces itself. For this long after
    /// its start, jobs are held while no target can serve them; 0: never.
    duration announcement_period{};
    /// entry: jobs are relayed to other entries while this one exceeds its
    /// processor share
    bool relay = false;
    /// entry: shortest time between two waits for sockets; 0: none
    duration poll_spacing{};
};

/// @brief Role of the process; decides which settings are read.
enum class node_role : uint8_t
{
    entry,
    agent
};

/// @brief Whether a settings file has a "node" section.
bool has_node_settings(const nlohmann::json& document);

/// @brief Parses and validates the settings.
/// @param file name of the file, for error messages
/// @return errc::settings_invalid with the path of each invalid field, its
/// value and what was expected
result<node_settings> parse_node_settings(const nlohmann::json& document,
                                          node_role role,
                                          const std::string& file);

} // namespace agatebank
