#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/wire/tcp_connector.hpp>
#include <agatebank/wire/tcp_link.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Times and bounds of an agent; not part of its settings file.
struct agent_limits
{
    /// a target that is silent for longer is withdrawn
    duration announcement_timeout = std::chrono::seconds(2);
    /// an entry without a connection for longer is taken as lost
    duration entry_timeout = std::chrono::seconds(3);
    /// how long answers for a lost entry are kept
    duration held_answers = std::chrono::seconds(60);
    /// how long a gathered submission stays fenced
    duration gather_fence = std::chrono::minutes(30);
    /// longest run of a task, also when its deadline is later or unknown
    duration longest_run = std::chrono::seconds(60);
    /// how long a stopping agent waits for acknowledgements
    duration stop_delivery = std::chrono::seconds(5);
    /// longest answer of a target
    std::size_t max_answer_bytes = 8U << 20U;
    /// answers in one reply to an entry that gathers
    std::size_t max_gather_bytes = 12U << 20U;
    /// lost entries whose floor is remembered
    std::size_t max_lost_entries = 4096;
    /// tracked starts of one entry
    std::size_t max_records = 1U << 18U;
    /// gathered submissions that are fenced at once
    std::size_t max_gather_fences = 1U << 16U;
    link_options links;
};

/// @brief Settings of one agent, as read from its file.
struct agent_settings
{
    std::string name;
    target_name target;
    failure_domain_name failure_domain;
    endpoint http;
    std::vector<endpoint> entries;
    std::string shared_key_file; ///< empty: no key, loopback only
    std::string log_file;        ///< empty: standard output
    std::string log_level = "info";
    agent_limits limits;
};

/// @brief Reads the settings of an agent; every field is validated and
/// unknown fields are refused.
/// @param document the parsed file
/// @param file its name, for errors
/// @return errc::settings_invalid with path, found and expected
///
/// @code
/// {"name": "agent-1", "target": "t-1", "failure_domain": "sapporo",
///  "http": {"address": "127.0.0.1", "port": 9101},
///  "entries": [{"address": "127.0.0.1", "port": 8201}],
///  "shared_key_file": "", "log": {"file": "", "level": "info"}}
/// @endcode
result<agent_settings> parse_agent_settings(const nlohmann::json& document,
                                            const std::string& file);

} // namespace agatebank
