#pragma once

#include <agatebank/harness/job_request.hpp>
#include <agatebank/http/http_client.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A caller, or an operator, that talks to entries over HTTP.
class job_caller
{
  public:
    using on_reply = std::function<void(const caller_reply&)>;

    // construction
    /// @param token bearer token
    /// @param keep_connections between calls; a call on a kept connection
    /// may be sent again by the library
    job_caller(event_loop& loop, std::string token,
               bool keep_connections = false);

    // calls that end later
    /// @param url entry's base URL
    void submit(const std::string& url, const std::string& submission,
                const job_request& job, duration wait, on_reply done);
    void show(const std::string& url, const std::string& submission,
              duration wait, on_reply done);
    /// @brief Any request. @param timeout until the reply must be there
    void send(http_call call, on_reply done);

    // calls that run the loop until they end
    std::vector<std::string> reserve(const std::string& url, unsigned count);
    caller_reply submit_now(const std::string& url,
                            const std::string& submission,
                            const job_request& job, duration wait);
    caller_reply show_now(const std::string& url, const std::string& submission,
                          duration wait);
    caller_reply call_now(const std::string& method, const std::string& url,
                          const std::string& body = {},
                          duration timeout = std::chrono::seconds(5));

    /// @brief Gives up every call; their callbacks are not called.
    void cancel_all();

    // lookup
    std::size_t in_flight() const noexcept;

  private:
    event_loop& loop_;
    http_client client_;
    std::string token_;
    bool keep_connections_;
    uint64_t next_ = 0;
    std::map<uint64_t, http_call_handle> calls_;
};

} // namespace agatebank
