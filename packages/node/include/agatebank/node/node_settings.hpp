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

/// @brief Settings of a process that is deployed by the platform: the
/// "node" section of the settings file. Addresses are "IP:port".
struct node_settings
{
    std::string name;
    failure_domain_name failure_domain;
    std::string log_level = "info";
    std::string address;         ///< entry: IP number where others dial
    uint16_t link_port = 0;      ///< for links; the same at all entries
    std::vector<endpoint> seeds; ///< link addresses of some entries
    endpoint metrics;            ///< where metrics are served
    endpoint callers;            ///< entry: where callers are served
    endpoint readiness;          ///< entry: where the balancer asks
    std::string table_service;   ///< entry: address of the platform's store
    endpoint announcements;      ///< agent: where the target announces itself
    std::string target;          ///< agent: address of the target
    duration longest_lease = std::chrono::milliseconds(1000);
    double remote_data_factor = 1; ///< run time away from the data's rack
};

/// @brief The role that the settings are for.
enum class node_role : uint8_t
{
    entry,
    agent
};

/// @brief Whether a settings file is for a process deployed by the platform.
bool has_node_settings(const nlohmann::json& document);

/// @brief Checks and reads the settings.
/// @param file named in the failure
/// @return errc::settings_invalid with path, found and expected
result<node_settings> parse_node_settings(const nlohmann::json& document,
                                          node_role role,
                                          const std::string& file);

} // namespace agatebank
