#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/result.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

/// @file
/// Reads and writes the configuration as JSON: the whole document, the
/// inventory alone or the rules alone. All functions are linear in the size of
/// the document, except the check of reserved slots, which takes
/// O(targets * services).
///
/// The whole document:
/// @code
/// {"version": 7, "change_id": "c0ffee", "changed_by": "aoki",
///  "inventory": [{"target": "t-1", "worker": "w-1", "rack": "r-1",
///                 "failure_domain": "sapporo", "cores": 16,
///                 "memory_mib": 65536, "accelerators": 0, "slots": 8,
///                 "labels": ["pall"]}],
///  "rules": {"services": [{"name": "pall-booking",
///                          "required_labels": ["pall"]}],
///            "patience": [{"name": "now", "wait_ms": 2000,
///                          "price_per_task": 40}],
///            "weights": {"response": 0.8, "waste": 0.2},
///            "callers": [{"name": "desk", "token_sha256": "..."}],
///            "operators": [{"name": "aoki", "token_sha256": "..."}]},
///  "target_states": {"t-1": "draining"},
///  "history": []}
/// @endcode
/// The inventory alone is `{"inventory": [...]}`; the rules alone are the
/// object under `rules`.

namespace agatebank
{

/// @brief The name of a target state in JSON: "active", "draining" or
/// "stopped".
const char* to_word(target_state state) noexcept;

/// @brief Validates a configuration: the format and number of names, labels
/// and tokens, and the constraints between fields, such as duplicate names and
/// tokens, references to labels and targets that do not exist, and more
/// reserved slots than a target has.
/// @return the first error as "at PATH: found X, expected Y"; empty if valid
std::string find_validation_error(const configuration& c);

/// @brief Parses and validates a whole document.
/// @param peer file or address that the text came from
/// @return errc::configuration_invalid with the JSON path, the value found and
/// the value expected
result<configuration> parse_configuration(std::string_view text,
                                          const std::string& peer);

/// @brief Parses an inventory and validates it without rules.
result<std::vector<inventory_row>> parse_inventory(std::string_view text,
                                                   const std::string& peer);

/// @brief Parses rules and validates them without an inventory: required
/// labels and reserved slots are not checked against targets.
result<rule_set> parse_rules(std::string_view text, const std::string& peer);

/// @brief Serialises the whole document as compact JSON text.
std::string to_text(const configuration& c);

/// @brief The whole document as JSON.
nlohmann::json to_json(const configuration& c);
/// @brief One row of the inventory as JSON.
nlohmann::json to_json(const inventory_row& row);
/// @brief The inventory alone, as @ref parse_inventory reads it.
nlohmann::json to_json(const std::vector<inventory_row>& inventory);
/// @brief The rules alone, as @ref parse_rules reads them.
nlohmann::json to_json(const rule_set& rules);
nlohmann::json to_json(const service_rule& rule);
nlohmann::json to_json(const patience_rule& rule);
nlohmann::json to_json(const policy_weights& weights);
nlohmann::json to_json(const caller_rule& rule);
nlohmann::json to_json(const operator_rule& rule);
nlohmann::json to_json(const change_record& record);

} // namespace agatebank
