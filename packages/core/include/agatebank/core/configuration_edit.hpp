#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/result.hpp>

#include <functional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A change of one part of the configuration that can be applied to
/// any version of it.
struct configuration_edit
{
    std::string part; ///< path of the part, as for @ref is_in_part
    /// returns the edited document, which the caller must still validate
    std::function<result<configuration>(const configuration&)> apply;
};

/// @brief Replaces the inventory and removes the states of targets that the
/// new inventory does not contain.
configuration_edit replace_inventory(std::vector<inventory_row> inventory);

/// @brief Replaces the rules.
configuration_edit replace_rules(rule_set rules);

/// @brief Sets the state of a target; fails with errc::not_found if the
/// inventory has no such target.
configuration_edit set_target_state(const target_name& target,
                                    target_state state);

/// @brief Turns an edited document into the next version: increments the
/// version and adds a record to the history, dropping the oldest if full.
/// @param edited the edited document, with the version it was made from
/// @param record the change; its version is set by this function
configuration make_next_version(configuration edited, change_record record);

} // namespace agatebank
