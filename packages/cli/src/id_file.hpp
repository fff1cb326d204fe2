#pragma once

#include <agatebank/core/result.hpp>

#include <string>

namespace agatebank::detail
{

/// @brief Reads the submission id kept in a file.
/// @return empty when there is no such file
std::string read_id_file(const std::string& name);

/// @brief Keeps a submission id in a file that survives a crash: written
/// beside it, synced, then renamed.
result<void> write_id_file(const std::string& name, const std::string& id);

} // namespace agatebank::detail
