#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/entry/entry_directory.hpp>
#include <agatebank/entry/submission_service.hpp>
#include <agatebank/http/http_server.hpp>
#include <agatebank/wire/tcp_connector.hpp>
#include <agatebank/wire/tcp_link.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace agatebank
{

/// @brief Destination and level of a process's log.
struct log_settings
{
    std::string file; ///< empty: standard output
    std::string level = "info";
};

/// @brief Settings of an entry. The entry uses those read at its start.
struct entry_settings
{
    std::string name;
    failure_domain_name failure_domain;
    http_server_options http;
    endpoint wire; ///< TCP for agents and entries, UDP for announcements
    std::vector<endpoint> peers; ///< to which announcements are sent
    std::string platform_url;
    std::string platform_ca_file;
    std::string shared_key_file;
    std::string bootstrap_operator_sha256;
    log_settings log;

    // timing
    duration configuration_poll = std::chrono::seconds(1);
    duration agent_loss_timeout = std::chrono::seconds(3);
    duration leave_delay = std::chrono::seconds(1);
    duration stop_timeout = std::chrono::seconds(60);
    membership_options membership;
    link_options links;
    submission_limits submissions;
};

/// @brief Reads the settings of an entry from their JSON document. Every value
/// is validated, and unknown fields are refused.
/// @param file name of the settings file, for the error
/// @return the settings, or errc::settings_invalid with the path of the first
/// error, the value found and the values expected
result<entry_settings> parse_entry_settings(const nlohmann::json& document,
                                            const std::string& file);

} // namespace agatebank
