#pragma once

#include <agatebank/core/result.hpp>

#include <string>

namespace agatebank::detail
{

/// @brief Reads the submission id stored in a file.
/// @return empty when there is no such file
std::string read_id_file(const std::string& name);

/// @brief Stores a submission id in a file so that it survives a crash: writes
/// a temporary file, syncs it and renames it.
result<void> write_id_file(const std::string& name, const std::string& id);

} // namespace agatebank::detail
