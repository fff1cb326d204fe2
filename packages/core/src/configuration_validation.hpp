#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/json_reader.hpp>

#include <string>

namespace agatebank::detail
{

/// @brief Validates rules without an inventory and adds the first error.
/// @param path JSON path of the rules in the document
void validate_rules(const rule_set& rules, const std::string& path,
                    json_errors& errors);

/// @brief Validates a whole configuration and adds the first error.
void validate(const configuration& c, json_errors& errors);

} // namespace agatebank::detail
