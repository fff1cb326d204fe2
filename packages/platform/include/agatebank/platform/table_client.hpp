#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_client.hpp>

#include <functional>
#include <optional>
#include <string>

namespace agatebank
{

/// @brief A value of the table and the tag of its version.
struct table_value
{
    std::string body;
    std::string etag;
};

/// @brief How a conditional write ended.
enum class write_outcome
{
    written, ///< the value is in the table
    conflict ///< the table holds another version; nothing was written
};

/// @brief A conditional write whose outcome is known.
struct write_result
{
    write_outcome outcome = write_outcome::conflict;
    std::string etag; ///< of the written value
};

/// @brief The platform's table service over HTTP: conditional writes by
/// `ETag` and `If-Match`.
///
/// Errors: errc::platform_unreachable, the table was not reached;
/// errc::platform_refused, it answered with an error and did nothing;
/// errc::platform_outcome_unknown, a write may have taken effect.
class table_client
{
  public:
    /// @brief Gets the value, or nothing when the key is absent.
    using get_completion =
        std::function<void(const result<std::optional<table_value>>&)>;
    using put_completion = std::function<void(const result<write_result>&)>;

    // construction
    /// @param url of the table, without a slash at its end
    /// @param timeout of one call
    table_client(http_client& http, std::string url, duration timeout);

    // calls; destroying the handle cancels the call
    [[nodiscard]] http_call_handle get(const std::string& key,
                                       get_completion done);
    /// @param expected_etag the version to replace; nothing: the key must
    /// be absent
    [[nodiscard]] http_call_handle
    put(const std::string& key, const std::string& body,
        const std::optional<std::string>& expected_etag, put_completion done);

  private:
    http_client& http_;
    std::string url_;
    duration timeout_;
};

} // namespace agatebank
