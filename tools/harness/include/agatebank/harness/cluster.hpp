#pragma once

#include <agatebank/harness/child_process.hpp>
#include <agatebank/harness/job_caller.hpp>
#include <agatebank/harness/ledger.hpp>
#include <agatebank/harness/port_block.hpp>
#include <agatebank/harness/tcp_relay.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A target of a cluster and its initial failure mode.
struct cluster_target
{
    std::string name;
    std::string failure_domain;
    std::vector<std::string> services;
    unsigned slots = 8;
    double speed = 1.0;
    std::string mode = "ok";
};

/// @brief What a cluster consists of.
struct cluster_options
{
    std::vector<std::string> entry_domains; ///< failure domain of each entry
    std::vector<cluster_target> targets;    ///< each has its own agent
    std::string inventory;                  ///< JSON document
    std::string rules;                      ///< JSON document
    std::string operator_token;
    std::string caller_token;
    bool relays = false; ///< agents connect to entries through TCP relays
    bool import = true;  ///< import inventory and rules at start-up
};

/// @brief Runs a stand-in platform, entries, agents and targets as processes
/// named "platform", "entry-1", "agent-NAME" and "target-NAME". All processes
/// are killed when the object is destroyed.
class cluster
{
  public:
    // construction
    /// @throw std::runtime_error if the cluster does not become ready
    cluster(event_loop& loop, cluster_options options);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    // processes
    child_process& process(const std::string& name);
    /// @brief Restarts a process that has ended, on the same ports.
    void start(const std::string& name);
    void start_entry(std::size_t i);
    void start_agent(const std::string& target);
    void start_target(const std::string& target);
    std::vector<std::string> names() const;

    // waiting
    /// @brief Waits until the entry's `/readyz` answers 200.
    /// @return false if @p timeout passed first
    bool wait_ready(std::size_t entry, duration timeout);
    /// @brief Waits until the entry lists exactly @p n targets that accept
    /// work. @return false if @p timeout passed first
    bool wait_targets(std::size_t entry, std::size_t n, duration timeout);

    // faults
    /// @param faults body of `POST /faults`
    caller_reply platform_faults(const nlohmann::json& faults);
    /// @param mode body of `POST /mode`
    caller_reply target_mode(const std::string& target,
                             const nlohmann::json& mode);
    /// @brief The relay between an agent and an entry.
    tcp_relay& relay(const std::string& target, std::size_t entry);
    /// @brief All relays of an entry, or of an agent.
    std::vector<tcp_relay*> relays_of_entry(std::size_t entry);
    std::vector<tcp_relay*> relays_of_agent(const std::string& target);

    // configuration
    /// @brief Calls the entry's HTTP interface with the operator's token.
    caller_reply admin(std::size_t entry, const std::string& method,
                       const std::string& path,
                       const nlohmann::json& body = nullptr);
    /// @brief The version of the configuration in force; 0 if there is none or
    /// the entry does not reply.
    uint64_t version(std::size_t entry);

    // lookup
    std::string entry_url(std::size_t i) const;
    std::string platform_url() const;
    std::string target_url(const std::string& target);
    /// @brief Base URL of the agent that serves a target.
    std::string agent_url(const std::string& target);
    job_caller& caller() noexcept;
    /// @brief Writes the bootstrap operator's token to a file.
    /// @return the file's path
    std::string bootstrap_token_file() const;
    ledger read_ledger() const;
    /// @brief Whether an agent was restarted after SIGKILL. Tasks that the
    /// killed agent started may still run at the target, and the restarted
    /// agent has no record of them.
    bool agent_lost_tasks() const noexcept;
    const std::string& directory() const noexcept;
    const cluster_options& options() const noexcept;

  private:
    struct entry_ports
    {
        uint16_t http = 0;
        uint16_t wire = 0;
    };

    void plan_ports();
    void spawn(const std::string& name,
               const std::vector<std::string>& arguments);
    void spawn_platform();
    void import_configuration();
    void require_success(const caller_reply& reply, const std::string& what);
    std::string write_settings(const std::string& name,
                               const nlohmann::json& settings) const;
    nlohmann::json entry_settings(std::size_t i) const;
    nlohmann::json agent_settings(const cluster_target& target) const;
    const cluster_target& target(const std::string& name) const;
    std::string describe_ended_processes();

    event_loop& loop_;
    cluster_options options_;
    port_block ports_;
    bool agent_lost_tasks_ = false;
    std::string directory_;
    job_caller caller_;
    job_caller operator_;
    job_caller bootstrap_;
    uint16_t platform_port_ = 0;
    std::vector<entry_ports> entry_ports_;
    std::map<std::string, uint16_t> agent_ports_;
    std::map<std::string, uint16_t> target_ports_;
    std::map<std::string, std::unique_ptr<tcp_relay>> relays_;
    std::map<std::string, std::unique_ptr<child_process>> processes_;
};

/// @brief Path of a program built by this project, by its name.
std::string program_path(const std::string& name);

} // namespace agatebank
