#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_client.hpp>

#include <functional>
#include <optional>
#include <string>

namespace agatebank
{

/// @brief A value of the table and the entity tag of its version.
struct table_value
{
    std::string body;
    std::string etag;
};

/// @brief The outcome of a conditional write that was answered.
enum class write_outcome
{
    written, ///< the value is in the table
    conflict ///< the table has another version; nothing was written
};

/// @brief The result of a conditional write whose outcome is known.
struct write_result
{
    write_outcome outcome = write_outcome::conflict;
    std::string etag; ///< of the written value; empty after a conflict
};

/// @brief Client of the platform's table service over HTTP, with conditional
/// writes by `ETag` and `If-Match`.
///
/// Errors: errc::platform_unreachable when no answer to a read arrived, or a
/// write did not reach the table; errc::platform_refused when the table
/// answered with an error and did nothing, or answered a read without an ETag;
/// errc::platform_outcome_unknown when a write may have taken effect.
class table_client
{
  public:
    /// @brief Receives the value, or nothing when the table lacks the key.
    using get_completion =
        std::function<void(const result<std::optional<table_value>>&)>;
    using put_completion = std::function<void(const result<write_result>&)>;

    // construction
    /// @param url of the table, without a slash at the end
    /// @param timeout of one request
    table_client(http_client& http, std::string url, duration timeout);

    // calls; destroying the handle cancels the call
    /// @brief Reads the value of a key.
    [[nodiscard]] http_call_handle get(const std::string& key,
                                       get_completion done);
    /// @brief Writes the value of a key if the table has the expected version.
    /// @param expected_etag the version to replace; empty: the table must not
    /// have the key
    [[nodiscard]] http_call_handle
    put(const std::string& key, const std::string& body,
        const std::optional<std::string>& expected_etag, put_completion done);

  private:
    http_client& http_;
    std::string url_;
    duration timeout_;
};

} // namespace agatebank
