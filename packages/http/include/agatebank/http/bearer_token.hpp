#pragma once

#include <agatebank/http/http_message.hpp>

#include <string>
#include <string_view>

namespace agatebank
{

/// @brief SHA-256 of a text in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

/// @brief The token in a request's `Authorization: Bearer` header (RFC 6750);
/// empty if there is none.
std::string bearer_token(const http_request& request);

} // namespace agatebank
