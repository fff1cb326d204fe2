#pragma once

#include <agatebank/harness/job_request.hpp>
#include <agatebank/http/http_client.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief HTTP client for the requests of callers and operators to entries.
class job_caller
{
  public:
    using on_reply = std::function<void(const caller_reply&)>;

    // construction
    /// @param token bearer token
    /// @param keep_connections whether connections are reused between calls;
    /// the HTTP library may then resend a call
    job_caller(event_loop& loop, std::string token,
               bool keep_connections = false);

    // asynchronous calls
    /// @brief Submits a job. @param url entry's base URL
    void submit(const std::string& url, const std::string& submission,
                const job_request& job, duration wait, on_reply done);
    /// @brief Requests the state of a submission.
    void show(const std::string& url, const std::string& submission,
              duration wait, on_reply done);
    /// @brief Sends any request with the caller's token.
    void send(http_call call, on_reply done);

    // blocking calls, which run the loop until the reply has arrived
    /// @brief Reserves submission ids. @return empty if the call failed
    std::vector<std::string> reserve(const std::string& url, unsigned count);
    caller_reply submit_now(const std::string& url,
                            const std::string& submission,
                            const job_request& job, duration wait);
    caller_reply show_now(const std::string& url, const std::string& submission,
                          duration wait);
    caller_reply call_now(const std::string& method, const std::string& url,
                          const std::string& body = {},
                          duration timeout = std::chrono::seconds(5));

    /// @brief Cancels every call in flight without calling its callback.
    void cancel_all();

    // lookup
    std::size_t in_flight() const noexcept;

  private:
    event_loop& loop_;
    http_client client_;
    std::string token_;
    bool keep_connections_;
    uint64_t last_call_id_ = 0;
    std::map<uint64_t, http_call_handle> calls_;
};

} // namespace agatebank
