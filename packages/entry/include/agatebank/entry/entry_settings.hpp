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

/// @brief Where a process logs.
struct log_settings
{
    std::string file; ///< empty: standard output
    std::string level = "info";
};

/// @brief Settings of an entry, read once at start.
struct entry_settings
{
    std::string name;
    failure_domain_name failure_domain;
    http_server_options http;
    endpoint wire; ///< TCP for agents and entries, UDP for announcements
    std::vector<endpoint> peers;
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

/// @brief Reads the settings of an entry; every field is checked and unknown
/// fields are refused.
/// @param file named in the error
/// @return errc::settings_invalid with path, found and expected
result<entry_settings> parse_entry_settings(const nlohmann::json& document,
                                            const std::string& file);

} // namespace agatebank
