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

/// @brief Timeouts and limits of an agent; not part of its settings file.
struct agent_limits
{
    /// the target is withdrawn after this time without an announcement
    duration announcement_timeout = std::chrono::seconds(2);
    /// an entry is treated as lost after this time without a connection
    duration entry_timeout = std::chrono::seconds(3);
    /// how long the reports of a lost entry's starts are kept
    duration lost_entry_retention = std::chrono::seconds(60);
    /// how long the starts of a gathered submission are refused
    duration fence_duration = std::chrono::minutes(30);
    /// timeout of a run, even if the task's deadline is later or unknown
    duration max_run_time = std::chrono::seconds(60);
    /// how long a stopping agent waits, once no run is left, for entries to
    /// acknowledge reports and confirm their withdrawn credits
    duration stop_timeout = std::chrono::seconds(5);
    /// a run with a longer answer fails
    std::size_t max_answer_bytes = 8U << 20U;
    /// size of all answers in one gather_reply; further ones are left out
    std::size_t max_gather_bytes = 12U << 20U;
    /// lost entries that keep a ledger without records, and with it the floor
    /// that refuses their old orders
    std::size_t max_lost_entries = 4096;
    /// starts of one entry that have a record; further orders are ignored
    std::size_t max_records = 1U << 18U;
    /// submissions that are fenced at once; further gather queries get no
    /// reply
    std::size_t max_fenced_submissions = 1U << 16U;
    link_options links;
};

/// @brief Settings of one agent, as read from its settings file.
struct agent_settings
{
    std::string name;
    target_name target;
    failure_domain_name failure_domain;
    endpoint http;
    std::vector<endpoint> entries;
    std::string shared_key_file; ///< empty: no key, loopback entries only
    std::string log_file;        ///< empty: standard output
    std::string log_level = "info";
    agent_limits limits;
};

/// @brief Parses and validates the settings of an agent; unknown fields are
/// errors.
/// @param document the parsed file
/// @param file name of the file, for error messages
/// @return errc::settings_invalid with the path of the first invalid field, the
/// value found and what was expected
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
