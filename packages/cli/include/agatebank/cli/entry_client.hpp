#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_client.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <string>
#include <vector>

namespace agatebank
{

/// @brief Sends HTTP requests to the first entry that can serve them.
///
/// A request may reach several entries, so it must be safe to repeat at any of
/// them.
class entry_client
{
  public:
    // construction
    /// @param entries base URLs, tried in this order
    /// @param token sent as bearer token unless empty
    entry_client(event_loop& loop, http_client& http,
                 std::vector<std::string> entries, std::string token);

    // calls
    /// @brief Sends a request and blocks until there is a response. Skips
    /// entries that cannot be reached or are unavailable (status 503, unless
    /// the cause is the platform, which all entries share). The next call
    /// starts with the entry that answered.
    /// @param call its URL holds only the path and query
    /// @return the response; when all entries were skipped, the last 503
    /// response, or a failure when there was none
    result<http_response> call(http_call call);

  private:
    result<http_response> call_entry(const http_call& call);

    event_loop& loop_;
    http_client& http_;
    std::vector<std::string> entries_;
    std::string token_;
    std::size_t first_index_ = 0; ///< of the entry to try first
};

} // namespace agatebank
