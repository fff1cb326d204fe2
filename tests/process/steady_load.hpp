#pragma once

#include "small_cluster.hpp"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Parameters of a load.
struct load_options
{
    std::size_t in_flight = 30; ///< jobs at once
    std::size_t tasks = 2;      ///< per job
    int64_t min_run_ms = 20;
    int64_t max_run_ms = 120;
    std::string patience = "later";
    uint64_t seed = 7;
};

/// @brief Keeps a fixed number of jobs in flight, sent only to entries whose
/// readiness check succeeds, as the platform's load balancer chooses them.
class steady_load
{
  public:
    // construction
    steady_load(cluster_fixture& t, load_options options = {});

    // modifiers
    void start();
    /// @brief Sends no more jobs and runs the loop until all replies have
    /// arrived; a time-out fails the test.
    void finish(duration timeout = std::chrono::seconds(60));

    // lookup
    std::size_t complete() const noexcept;
    std::size_t failed() const noexcept;
    std::size_t refused() const noexcept;
    /// @brief Returns a message for each missing reply and each failed job.
    const std::vector<std::string>& failure_messages() const noexcept;

  private:
    void poll_ready();
    std::optional<std::size_t> choose_entry();
    void begin_job();
    void submit(std::size_t entry, const std::string& id,
                const job_request& job);
    void record_reply(std::size_t entry, const std::string& id,
                      const job_request& job, const caller_reply& reply);
    void end_job();

    cluster_fixture& fixture_;
    load_options options_;
    std::mt19937_64 random_;
    std::vector<bool> ready_;
    std::vector<watch> timers_;
    std::map<uint64_t, watch> retries_;
    std::vector<std::string> failure_messages_;
    uint64_t next_job_ = 0;
    uint64_t next_retry_ = 0;
    std::size_t jobs_in_flight_ = 0;
    std::size_t complete_ = 0;
    std::size_t failed_ = 0;
    std::size_t refused_ = 0;
    bool running_ = false;
};

} // namespace agatebank
