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
    std::string part; ///< as for @ref is_in_part
    /// makes the edited document; not yet validated as a whole
    std::function<result<configuration>(const configuration&)> apply;
};

/// @brief Replaces the inventory and forgets states of targets that are gone.
configuration_edit replace_inventory(std::vector<inventory_row> inventory);

/// @brief Replaces the rules.
configuration_edit replace_rules(rule_set rules);

/// @brief Sets what the operator wants of a target; errc::not_found when the
/// inventory has no such target.
configuration_edit set_target_state(const target_name& target,
                                    target_state state);

/// @brief The next version of a document.
/// @param edited the edited document
/// @param record what is added to the history; its version is set here
configuration make_next_version(configuration edited, change_record record);

} // namespace agatebank
