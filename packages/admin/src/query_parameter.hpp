#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_message.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace agatebank::detail
{

/// @brief Reads a whole number of a request's query.
/// @return nothing when the parameter is absent, errc::request_malformed
/// when it is no number up to @p max
result<std::optional<uint64_t>>
read_number(const http_request& request, const std::string& name, uint64_t max);

/// @brief Reads "true" or "false"; absent means false.
result<bool> read_flag(const http_request& request, const std::string& name);

/// @brief Reads the version of an `If-Match: "<version>"` header; `*` and
/// an absent header mean any version.
result<std::optional<uint64_t>> read_if_match(const http_request& request);

} // namespace agatebank::detail
