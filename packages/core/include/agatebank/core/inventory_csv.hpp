#pragma once

#include <agatebank/core/configuration.hpp>
#include <agatebank/core/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace agatebank
{

/// @brief Parses an inventory from CSV (RFC 4180) as exported by asset
/// registers. The first line names the columns, in any order:
/// `target,worker,rack,failure_domain,cores,memory_mib,accelerators,slots,
/// labels`; labels are separated by `;`. The columns cores, memory_mib,
/// accelerators and labels are optional.
/// @param peer file or address that the text came from
/// @return errc::configuration_invalid with the line, the column, the value
/// found and the value expected
result<std::vector<inventory_row>> parse_inventory_csv(std::string_view text,
                                                       const std::string& peer);

/// @brief Writes an inventory in the format of @ref parse_inventory_csv.
std::string to_csv(const std::vector<inventory_row>& inventory);

} // namespace agatebank
