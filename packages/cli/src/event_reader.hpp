#pragma once

#include <agatebank/core/event.hpp>
#include <agatebank/core/result.hpp>

#include <nlohmann/json.hpp>

#include <vector>

namespace agatebank::detail
{

/// @brief Reads the body of `GET /v1/admin/timeline`.
/// @return errc::request_malformed with path, found and expected
result<std::vector<event>> read_events(const nlohmann::json& body);

} // namespace agatebank::detail
