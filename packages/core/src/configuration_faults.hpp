#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/json_reader.hpp>

#include <string>

namespace agatebank::detail
{

/// @brief Adds the first fault of rules that shows without an inventory.
/// @param path of the rules in the document
void add_rules_faults(const rule_set& rules, const std::string& path,
                      json_errors& errors);

/// @brief Adds the first fault of the whole document.
void add_faults(const configuration& c, json_errors& errors);

} // namespace agatebank::detail
