#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_client.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <string>
#include <vector>

namespace agatebank
{

/// @brief Calls the entries one after the other until one can serve.
///
/// Every call may reach several entries, so it must be one that is safe to
/// repeat at any of them.
class entry_client
{
  public:
    // construction
    /// @param entries URLs, tried in this order
    /// @param token sent as bearer token, may be empty
    entry_client(event_loop& loop, http_client& http,
                 std::vector<std::string> entries, std::string token);

    // calls
    /// @brief Calls and waits for the response. An entry that cannot be
    /// reached, or says that it cannot serve now (503), is passed over; the
    /// next call begins with the entry that answered.
    /// @param call its URL is the path and query
    /// @return errc::peer_unreachable when no entry gave a response
    result<http_response> call(http_call call);

  private:
    result<http_response> call_entry(const http_call& call);

    event_loop& loop_;
    http_client& http_;
    std::vector<std::string> entries_;
    std::string token_;
    std::size_t first_index_ = 0; ///< index of the entry to try first
};

} // namespace agatebank
