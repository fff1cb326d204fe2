#pragma once

#include <agatebank/core/configuration.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace agatebank
{

/// @brief One item that differs between two configurations: a row, a rule,
/// the weights or a target's state.
struct item_difference
{
    std::string path;   ///< part and name, such as "/inventory/t-1"
    std::string before; ///< JSON text, empty when the item was added
    std::string after;  ///< JSON text, empty when the item was removed

    bool operator==(const item_difference&) const = default;
};

/// @brief Lists the items to add, remove or change to turn @p before into
/// @p after. The order of rows and rules is ignored, as are version, change_id,
/// changed_by and history.
/// @return items sorted by path
/// @complexity O(n log n) in the number of items
std::vector<item_difference> difference(const configuration& before,
                                        const configuration& after);

/// @brief Whether the path of an item is that of a part of the document or
/// lies below it.
/// @param part such as "/inventory", "/rules" or "/target_states/t-1"
bool is_in_part(const item_difference& item, std::string_view part);

/// @brief The items of a difference that belong to a part.
std::vector<item_difference>
select_part(const std::vector<item_difference>& items, std::string_view part);

/// @brief Summarises a difference in one line, such as
/// "inventory: 2 added, 1 changed".
std::string summarise(const std::vector<item_difference>& items);

/// @brief A difference as JSON: an array of `{"path","before","after"}`;
/// `before` is null for an added item, `after` for a removed one.
nlohmann::json to_json(const std::vector<item_difference>& items);

} // namespace agatebank
