#pragma once

#include <agatebank/core/event.hpp>
#include <agatebank/core/result.hpp>

#include <nlohmann/json.hpp>

#include <vector>

namespace agatebank::detail
{

/// @brief Parses the response body of `GET /v1/admin/timeline`.
/// @return errc::request_malformed, with the path of the value, what was found
/// and what was expected, when the body is invalid
result<std::vector<event>> read_events(const nlohmann::json& body);

} // namespace agatebank::detail
