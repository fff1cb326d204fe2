#pragma once

#include <agatebank/core/execution_status.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/core/strong_id.hpp>
#include <agatebank/core/units.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Identifies a connection among all that one client has opened.
using http_connection_id = strong_id<struct http_connection_id_tag, uint64_t>;

/// @brief One header field.
struct http_header
{
    std::string name;
    std::string value;
};

/// @brief A request as passed to a handler.
struct http_request
{
    std::string method;
    std::string path; ///< percent-decoded
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;  ///< names in lower case
    std::map<std::string, std::string> captures; ///< segment for `{name}`
    std::string body;
    std::string peer;        ///< address of the client
    uint64_t request_id = 0; ///< identifies it at its server, from 1
    /// The client had closed its connection when the request was read. Set only
    /// by a server with a callback for abandoned requests.
    bool client_left = false;
    /// Time from the connection's acceptance until its first request was read;
    /// zero for later requests. More than a round trip and the client's own
    /// delay: the path is slow.
    duration since_accepted{};
    /// Longest time that the request may have been under way or unread: since
    /// the first request's connection was accepted, or since the process was
    /// paused; zero if nothing delayed it as far as the server knows.
    duration possible_delay{};

    /// @brief A header's value, empty when absent. @param name lower case
    const std::string& header(const std::string& name) const;
    /// @brief A query parameter's value, empty when absent.
    const std::string& parameter(const std::string& name) const;
};

/// @brief A response, sent by a handler or received by a client.
struct http_response
{
    unsigned status = 200;
    std::string content_type;
    std::string body;
    std::vector<http_header> headers;
    /// The connection that it was received on, among those of its client.
    http_connection_id connection{};
};

/// @brief Makes a JSON response. @complexity linear in the document
http_response json_response(unsigned status, const nlohmann::json& body);

/// @brief Makes an `application/problem+json` response (RFC 9457).
/// @param status HTTP status
/// @param f the error with its step and peer
/// @param execution execution status of the task or job that the response
/// reports
http_response problem_response(unsigned status, const failure& f,
                               execution_status execution);

} // namespace agatebank
