#pragma once

#include <agatebank/http/http_message.hpp>

#include <string>

namespace agatebank
{

/// @brief How a response is sent.
struct response_form
{
    bool keep_alive = true;
    bool without_body = false; ///< the response to HEAD
};

/// @brief Whether a response asks for the end of its connection.
bool closes_connection(const http_response& response);

/// @brief Makes the bytes of a response, with Date, Server, Connection and
/// Content-Length.
std::string to_bytes(const http_response& response, const response_form& form);

} // namespace agatebank
