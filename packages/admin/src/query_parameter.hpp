#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_message.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace agatebank::detail
{

/// @brief Reads a whole number from a request's query.
/// @return nothing when the parameter is absent or empty;
/// errc::request_malformed when it is not a whole number from 0 to @p max
result<std::optional<uint64_t>>
read_number(const http_request& request, const std::string& name, uint64_t max);

/// @brief Reads "true" or "false" from a request's query; an absent parameter
/// means false.
/// @return errc::request_malformed for any other text
result<bool> read_flag(const http_request& request, const std::string& name);

/// @brief Reads the version of an `If-Match: "<version>"` header.
/// @return nothing, which means any version, when the header is absent or `*`;
/// errc::request_malformed when it is not a version in double quotes
result<std::optional<uint64_t>> read_if_match(const http_request& request);

} // namespace agatebank::detail
