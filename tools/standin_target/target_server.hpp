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

/// @brief How a stand-in target is set up.
struct target_options
{
    std::string name = "target";
    std::string address = "127.0.0.1";
    uint16_t port = 0;
    std::string agent_url;
    std::vector<std::string> services;
    unsigned slots = 8;
    double speed = 1.0; ///< run times are divided by it
    std::string ledger;
    std::string mode = "ok";
    uint64_t seed = 1;
};

/// @brief A back end that sleeps for the time a task asks for and echoes its
/// payload. Every start goes into the ledger.
class target_server
{
  public:
    // construction
    target_server(event_loop& loop, http_client& client,
                  const target_options& options);

    // life time
    /// @return the port of the HTTP server
    result<uint16_t> listen();
    /// @brief Says goodbye, finishes the running tasks and calls @p done.
    void leave(std::function<void()> done);

  private:
    void add_routes();
    void run_task(const http_request& request, const http_responder& respond);
    void finish_task(uint64_t number, const task_request& task,
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
    uint64_t next_number_ = 0;
    std::map<uint64_t, watch> running_;
    std::vector<http_responder> hanging_;
    time_point last_busy_;
    std::function<void()> on_left_;
    watch idle_check_;
};

} // namespace agatebank
