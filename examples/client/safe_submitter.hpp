#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_client.hpp>

#include <functional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief What a submission needs.
struct submission_plan
{
    std::vector<std::string> entries; ///< URLs; asked in turn
    std::string token;
    std::string id_file; ///< keeps the reserved id over a restart
    std::string job;     ///< JSON, the same at every attempt
    duration wait = std::chrono::seconds(30); ///< for the answer, an attempt
    int max_attempts = 10;
    duration retry_delay = std::chrono::milliseconds(500); ///< between attempts
};

/// @brief Submits one job so that a crash of the caller at any moment starts
/// nothing twice: reserves an id, stores it on disk, and only then sends the
/// job under it. With a stored id it sends the job under that one, and the
/// system answers from its record.
class safe_submitter
{
  public:
    /// @brief Receives the job's final response, or why there is none.
    using completion = std::function<void(const result<http_response>&)>;

    // construction
    safe_submitter(event_loop& loop, http_client& client, submission_plan plan,
                   completion done);

    // modifiers
    /// @brief Begins; called once.
    void start();

  private:
    void reserve();
    void send_job();
    void call(const std::string& method, const std::string& path,
              const std::string& body,
              std::function<void(const http_response&)> on_response);
    void retry(const failure& reason);

    event_loop& loop_;
    http_client& client_;
    submission_plan plan_;
    completion done_;
    std::string id_;
    int attempts_ = 0;
    http_call_handle call_;
    watch retry_timer_;
};

} // namespace agatebank
