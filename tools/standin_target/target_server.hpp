#pragma once

#include "announcer.hpp"
#include "fault_mode.hpp"
#include "raw_listener.hpp"
#include "task_ledger.hpp"
#include <agatebank/http/http_server.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Settings of a stand-in target.
struct target_options
{
    std::string name = "target";
    std::string address = "127.0.0.1";
    uint16_t port = 0;
    std::string agent_url;
    std::vector<std::string> services;
    unsigned slots = 8;
    double speed = 1.0; ///< divisor of every run time
    std::string ledger;
    std::string mode = "ok";
    uint64_t seed = 1;
};

/// @brief A target that waits for the run time requested in a task's payload
/// and then answers with the requested echo. Every start is recorded in the
/// ledger.
class target_server
{
  public:
    // construction
    target_server(event_loop& loop, http_client& client,
                  const target_options& options);

    // lifetime
    /// @brief Starts the HTTP server and the announcements.
    /// @return the port of the HTTP server
    result<uint16_t> listen();
    /// @brief Withdraws from the agent, finishes the running tasks and calls
    /// @p done.
    void shut_down(std::function<void()> done);

  private:
    void add_routes();
    void run_task(const http_request& request, const http_responder& respond);
    void finish_task(uint64_t task_number, const task_request& task,
                     const std::string& answer, const http_responder& respond);
    void set_faults(const http_request& request, const http_responder& respond);
    duration run_time(const task_work& work);
    announcement current_announcement() const;
    raw_handlers make_raw_handlers();
    void exit_when_idle();

    event_loop& loop_;
    target_options options_;
    target_faults faults_;
    task_ledger ledger_;
    std::mt19937_64 random_;
    http_server server_;
    raw_listener raw_;
    announcer announcer_;
    uint16_t port_ = 0;
    uint64_t last_task_number_ = 0;
    std::map<uint64_t, watch> running_;
    std::vector<http_responder> unanswered_;
    time_point last_busy_;
    std::function<void()> on_shut_down_;
    watch idle_check_;
};

} // namespace agatebank
