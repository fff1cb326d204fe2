#pragma once

#include "silent_listener.hpp"
#include "store_stand_in.hpp"
#include "target_stand_in.hpp"
#include <agatebank/harness/child_process.hpp>
#include <agatebank/harness/port_block.hpp>
#include <agatebank/harness/tcp_relay.hpp>
#include <agatebank/wire/tcp_connector.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace agatebank
{

/// Run time of a task that callers state.
constexpr duration default_estimate = std::chrono::milliseconds(60);

/// @brief Size and options of a cluster.
struct cluster_plan
{
    std::size_t entries = 2;
    std::size_t agents = 2;
    duration run_time = std::chrono::milliseconds(60); ///< of each task
    /// callers reuse open connections
    bool keep_connections = false;
    bool seeded_agents = true; ///< false: agents get no seeds
    std::string log_level = "info";
    /// processor shares in cores of entries that relay jobs; empty: none does
    std::vector<double> relay_shares = {};
    /// failure domains of the targets: z1, z2 and so on, in turn
    std::size_t domains = 1;
    unsigned poll_spacing_us = 0; ///< of entries
    /// period of the targets' announcements, spread over it, and setting of the
    /// entries that goes with it; 0: 150 ms, and no setting
    duration announcement_period{};
    double processor_share = 0; ///< cores, of entries that don't relay
    /// relays stand before the links and the callers' address of each entry
    bool network = false;
    /// run time of a task that callers state
    duration estimate = default_estimate;
};

/// @brief A submitted job and its response. Status 0: no response yet, or the
/// connection broke.
struct caller_job
{
    unsigned status = 0;
    std::string body;
    std::string retry_after;
    bool ended = false; ///< answered, failed or disconnected
    time_point submitted;
    duration took{}; ///< until it was answered or failed
    http_call_handle call;
};

/// @brief Runs entries and agents as processes on loopback addresses, and
/// stand-ins of the table service and the targets in the test process.
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
    /// @brief Until an entry is started, dials to it get no answer, as from a
    /// VM that is not up. The entry must not run.
    void silence_links(std::size_t i);
    /// @brief Writes an agent's settings file.
    /// @param text written instead of the settings, unless empty
    void write_agent_settings(std::size_t i, bool with_seed,
                              const std::string& text = {});
    /// @brief Whether a line of an agent's log contains a text.
    bool agent_logged(std::size_t i, const std::string& text) const;
    /// @brief The lines of an entry's log that contain a text.
    std::string entry_log(std::size_t i, const std::string& text) const;
    /// @brief The lines of an agent's log that contain a text.
    std::string agent_log(std::size_t i, const std::string& text) const;
    /// @brief The relay before the links of an entry: to agents and to those
    /// entries that dial it. Needs cluster_plan::network, like the next one.
    tcp_relay& link_relay(std::size_t entry);
    /// @brief The relay before an entry's callers' address.
    tcp_relay& caller_relay(std::size_t entry);
    child_process& entry(std::size_t i);
    child_process& agent(std::size_t i);
    /// @brief Waits until all entries are ready for callers. @return whether
    /// they are
    bool wait_ready(duration timeout = std::chrono::seconds(10));
    /// @brief Requests the evacuation of a failure domain in all stores.
    void evacuate(const std::string& domain, const std::string& value = "{}");
    /// @brief Returns a failure domain to service in all stores.
    void return_to_service(const std::string& domain);
    /// @brief HTTP status of an entry's readiness check; 0 without a response.
    unsigned readiness(std::size_t i);
    /// @brief Value of a metric without labels on an agent's metrics page;
    /// negative without a response.
    double agent_metric(std::size_t i, const std::string& name);
    /// @brief The same of an entry's metrics page. A metric with labels is
    /// named with them, as on the page.
    double entry_metric(std::size_t i, const std::string& name);
    /// @brief URL of an entry's metrics address.
    std::string metrics_url(std::size_t entry) const;

    // callers
    /// @brief Submits a job of equal tasks. @return the number of the job
    std::size_t submit(std::size_t entry, const std::string& id,
                       unsigned tasks = 4,
                       duration deadline = std::chrono::seconds(3),
                       const std::string& prefix = "/q/",
                       const std::string& payload = "x");
    /// @brief Submits a job of one task to a callers' address.
    std::size_t submit_to(const endpoint& callers, const std::string& id,
                          duration deadline = std::chrono::seconds(3));
    /// @brief Where an entry serves callers; the relay before it, if any.
    endpoint callers(std::size_t entry) const;
    /// @brief Where an entry accepts links.
    endpoint links(std::size_t entry) const;
    /// @brief Where an agent receives announcements.
    endpoint announcements(std::size_t agent) const;
    /// @brief The body of such a job.
    static std::string job_body(unsigned tasks,
                                const std::string& payload = "x",
                                duration estimate = default_estimate);
    /// @brief Closes the connection of a job's caller.
    void disconnect(std::size_t job);
    const caller_job& job(std::size_t n) const;
    bool wait_ended(std::size_t job,
                    duration timeout = std::chrono::seconds(8));

    // parts
    event_loop loop;
    timer_queue timers{loop};
    run_ledger ledger;
    std::vector<std::unique_ptr<store_stand_in>> stores; ///< one per entry
    std::vector<std::unique_ptr<target_stand_in>> targets;

    /// @brief Writes a configuration with routes for the prefix /q/ and those
    /// given to all stores.
    void configure(uint64_t version,
                   const std::vector<std::string>& more_prefixes = {});
    /// @brief The text of that configuration.
    static std::string
    configuration(uint64_t version,
                  const std::vector<std::string>& more_prefixes = {});

  private:
    std::size_t send_job(const endpoint& callers, const std::string& path,
                         const std::string& body, duration deadline);
    double metric(const std::string& ip, const std::string& name);
    std::string entry_ip(std::size_t i) const;
    /// @brief Where others reach an entry: its relays' address, if it has any.
    std::string reachable_ip(std::size_t entry) const;
    std::string agent_ip(std::size_t i) const;
    std::string file(const std::string& name) const;
    std::string log_lines(const std::string& name,
                          const std::string& text) const;
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
    uint16_t callers_port_;
    uint16_t readiness_port_;
    uint16_t metrics_port_;
    uint16_t control_port_;
    uint16_t target_port_;
    uint16_t store_port_;
    std::vector<std::unique_ptr<child_process>> entries_;
    std::vector<std::unique_ptr<child_process>> agents_;
    http_client client_;
    std::map<std::size_t, silent_listener> silent_links_; ///< by entry
    std::vector<std::unique_ptr<tcp_relay>> link_relays_;
    std::vector<std::unique_ptr<tcp_relay>> caller_relays_;
    std::vector<std::unique_ptr<caller_job>> jobs_;
};

} // namespace agatebank
