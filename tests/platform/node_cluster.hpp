#pragma once

#include "store_stand_in.hpp"
#include "target_stand_in.hpp"
#include <agatebank/harness/child_process.hpp>
#include <agatebank/harness/port_block.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief How a cluster is made.
struct cluster_plan
{
    std::size_t entries = 2;
    std::size_t agents = 2;
    duration run_time = std::chrono::milliseconds(60);
    /// callers use open connections again
    bool keep_connections = false;
    bool seeded_agents = true; ///< false: agents know of no entry
    std::string log_level = "info";
};

/// @brief One caller's job and its answer; status 0: none yet, or the
/// connection broke.
struct caller_job
{
    unsigned status = 0;
    std::string body;
    std::string retry_after;
    bool ended = false;
    http_call_handle call;
};

/// @brief Entries and agents as processes on loopback addresses, with
/// stand-ins of the store and the targets in this process.
class node_cluster
{
  public:
    // construction
    explicit node_cluster(const cluster_plan& plan);
    ~node_cluster();
    node_cluster(const node_cluster&) = delete;
    node_cluster& operator=(const node_cluster&) = delete;

    // processes
    void start_entry(std::size_t i);
    void start_agent(std::size_t i);
    /// @brief Writes an agent's settings; @p text replaces them.
    void write_agent_settings(std::size_t i, bool with_seed,
                              const std::string& text = {});
    /// @brief Whether an agent's log has a line with a text.
    bool agent_logged(std::size_t i, const std::string& text) const;
    child_process& entry(std::size_t i);
    child_process& agent(std::size_t i);
    /// @brief Waits until all entries would be given callers.
    bool wait_ready(duration timeout = std::chrono::seconds(10));
    /// @brief Status of an entry's answer to the balancer; 0 without one.
    unsigned readiness(std::size_t i);

    // callers
    /// @brief Hands in a job of equal tasks. @return the number of the job
    std::size_t submit(std::size_t entry, const std::string& id,
                       unsigned tasks = 4,
                       duration deadline = std::chrono::seconds(3),
                       const std::string& prefix = "/q/");
    /// @brief Closes the caller's connection.
    void leave(std::size_t job);
    const caller_job& job(std::size_t n) const;
    bool wait_ended(std::size_t job,
                    duration timeout = std::chrono::seconds(8));

    // parts
    event_loop loop;
    timer_queue timers{loop};
    run_ledger ledger;
    std::vector<std::unique_ptr<store_stand_in>> stores; ///< one an entry
    std::vector<std::unique_ptr<target_stand_in>> targets;

    /// @brief Writes a configuration with the route /q/ and those given.
    void configure(uint64_t version,
                   const std::vector<std::string>& more_prefixes = {});
    /// @brief The configuration's text.
    static std::string
    configuration(uint64_t version,
                  const std::vector<std::string>& more_prefixes = {});

  private:
    std::string entry_ip(std::size_t i) const;
    std::string agent_ip(std::size_t i) const;
    std::string file(const std::string& name) const;
    static std::string agent_name(std::size_t i);
    nlohmann::json agent_settings(std::size_t i, bool with_seed) const;
    void write_settings(const std::string& name,
                        const nlohmann::json& settings) const;
    std::unique_ptr<child_process> run(const char* role,
                                       const std::string& name,
                                       const nlohmann::json& settings);

    cluster_plan plan_;
    port_block ports_;
    std::string directory_;
    uint16_t link_port_;
    uint16_t front_port_;
    uint16_t ready_port_;
    uint16_t metrics_port_;
    uint16_t control_port_;
    uint16_t app_port_;
    uint16_t store_port_;
    std::vector<std::unique_ptr<child_process>> entries_;
    std::vector<std::unique_ptr<child_process>> agents_;
    http_client client_;
    std::vector<std::unique_ptr<caller_job>> jobs_;
};

} // namespace agatebank
