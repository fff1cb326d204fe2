#pragma once

#include <agatebank/core/result.hpp>
#include <agatebank/http/http_client.hpp>

#include <functional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Parameters of a submission.
struct submission_plan
{
    std::vector<std::string> entries; ///< URLs; each attempt uses the next one
    std::string token;
    std::string id_file; ///< stores the reserved id across restarts
    std::string job;     ///< JSON, the same in every attempt
    duration wait = std::chrono::seconds(30); ///< for the answer, per attempt
    int max_attempts = 10;
    duration retry_delay = std::chrono::milliseconds(500); ///< between attempts
};

/// @brief Submits one job so that a crash of the caller at any moment starts no
/// task twice: reserves an id, stores it on disk, and only then sends the job
/// under it. When an id is stored already, sends the job under that id; if the
/// job was submitted before, the entry answers from its record.
class safe_submitter
{
  public:
    /// @brief Receives the job's final response, or the reason why there is
    /// none.
    using completion = std::function<void(const result<http_response>&)>;

    // construction
    safe_submitter(event_loop& loop, http_client& client, submission_plan plan,
                   completion done);

    // modifiers
    /// @brief Starts the submission; must be called once.
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
