#pragma once

#include <agatebank/agent/start_scheduler.hpp>
#include <agatebank/http/http_client.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <functional>
#include <map>
#include <string>

namespace agatebank
{

/// @brief Runs tasks on the target by HTTP. Each task is one request on a
/// connection of its own and is never resent, since the target may have run it
/// even if no response arrives.
class task_runner
{
  public:
    using on_ended = std::function<void(const start_key&, run_result)>;

    // construction
    /// @param client must allow as many connections as there are slots
    /// @param max_answer_bytes a longer answer makes the run fail with
    /// errc::message_too_large
    /// @param ended called with the result of each run
    task_runner(event_loop& loop, http_client& client,
                std::size_t max_answer_bytes, on_ended ended);

    // modifiers
    /// @brief Sends a task to the target.
    /// @param url base URL of the target's HTTP interface
    /// @param timeout time left to the task's deadline; the run ends as timed
    /// out when it has passed
    void run(const runnable_start& start, const std::string& url,
             duration timeout);

    // lookup
    std::size_t running() const noexcept;

  private:
    void on_response(const start_key& key, time_point begun,
                     const tl::expected<http_response, http_failure>& outcome);
    run_result
    to_result(const tl::expected<http_response, http_failure>& outcome);

    event_loop& loop_;
    http_client& client_;
    std::size_t max_answer_bytes_;
    on_ended on_ended_;
    std::map<start_key, http_call_handle> calls_;
};

} // namespace agatebank
