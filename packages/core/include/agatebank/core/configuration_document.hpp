#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/result.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

/// @file
/// The configuration as JSON text, whole or by its two parts. All functions
/// are linear in the document, but for the check of reserved slots, which
/// takes targets times services.
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

/// @brief The word of a target state: "active", "draining" or "stopped".
const char* to_word(target_state state) noexcept;

/// @brief Checks what no single field shows: duplicate names and tokens,
/// labels and targets that do not exist, more reserved slots than slots.
/// @return "at PATH: found X, expected Y", or empty when valid
std::string find_fault(const configuration& c);

/// @brief Parses and validates a whole document.
/// @param peer file or address the text came from
/// @return errc::configuration_invalid with JSON path, found and expected
result<configuration> parse_configuration(std::string_view text,
                                          const std::string& peer);

/// @brief Parses an inventory alone; checks it as far as it stands alone.
result<std::vector<inventory_row>> parse_inventory(std::string_view text,
                                                   const std::string& peer);

/// @brief Parses rules alone; checks them as far as they stand alone.
result<rule_set> parse_rules(std::string_view text, const std::string& peer);

/// @brief The whole document as compact JSON text.
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
