#pragma once

#include <agatebank/core/route_table.hpp>
#include <agatebank/fleet/entry_load_exchange.hpp>
#include <agatebank/fleet/job_relay.hpp>
#include <agatebank/fleet/job_scheduler.hpp>
#include <agatebank/fleet/relay_decision.hpp>
#include <agatebank/node/entry_links.hpp>
#include <agatebank/node/node_context.hpp>
#include <agatebank/node/report_requester.hpp>
#include <agatebank/node/waiting_callers.hpp>
#include <agatebank/wire/link_hub.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Start settings of an entry.
struct entry_node_settings
{
    endpoint links;              ///< listens here for agents and entries
    std::vector<endpoint> seeds; ///< link addresses of entries to dial first
    /// multiple of the run time on a target away from the data's rack
    double remote_data_factor = 1;
    /// period in which each target announces itself; 0: new jobs are not held
    /// until targets are discovered
    duration announcement_period{};
    double processor_share = 0; ///< cores; 0: not limited
    /// whether jobs are relayed to and taken from other entries
    bool relay = false;
    /// IP address under which other processes reach the links; empty: the one
    /// that it listens on
    std::string advertised_address = {};
};

/// @brief Functions that the process supplies to an entry node.
struct entry_node_hooks
{
    /// Parses the text of a configuration.
    std::function<result<route_table>(const std::string& text)> parse_routes;
    /// Processor time that the process has used.
    std::function<duration()> processor_time = []
    {
        return duration(0);
    };
};

/// @brief An entry: accepts jobs and places their tasks on targets by the
/// resources that each needs. Owns the links to agents and other entries, the
/// routes in force and the scheduler of its jobs.
class entry_node
{
  public:
    // construction
    entry_node(node_context context, entry_node_settings settings,
               entry_node_hooks hooks);

    // lifecycle
    /// @brief Listens for links and dials the seeds.
    /// @return errc::address_in_use
    result<void> start();
    /// @brief Finishes the running jobs. Jobs that arrive meanwhile over open
    /// connections are still accepted.
    /// @param done called once, when no job runs or the stop timed out
    void begin_stop(std::function<void()> done);
    /// @brief Adds entries to the roster. No entry is removed.
    void add_seeds(const std::vector<endpoint>& seeds);

    // configuration
    /// @brief Puts a configuration in force if its version is higher than the
    /// one in force. A text that can't be parsed is logged and ignored.
    /// @param source of the text, for the log
    void update_configuration(const std::string& text, const char* source);
    /// @brief Sets a callback for each configuration that is put in force.
    void on_configuration(std::function<void()> handler);
    /// @brief Sets a callback for each pause of the process after which
    /// requests may arrive late. It receives the begin of the pause, and
    /// returns how many connections of callers it ends.
    void on_pause(std::function<std::size_t(time_point)> handler);
    /// @brief The routes in force; version 0 when there are none yet.
    const route_table& routes() const noexcept;
    /// @brief For how long a job that arrives now waits for the first
    /// configuration; see agatebank::configuration_hold_time.
    duration configuration_hold_time(std::optional<duration> deadline) const;

    /// @brief Puts the evacuated failure domains in force, and passes them on,
    /// if their version is higher than that in force.
    /// @param source of the state, for the log
    void update_evacuation(const evacuation_state& state,
                           const std::string& source);

    // jobs
    /// @brief Submits a job. If a job with this id already runs here, it
    /// continues, and its answer goes to one of the two requests; see
    /// waiting_callers::attach.
    /// @param caller called once with the outcome, unless its request is
    /// abandoned
    void submit(job_caller caller, job_submission arrival);
    /// @brief The caller of a request has disconnected: cancels its job, if the
    /// job's answer would go to this request.
    void abandon(uint64_t number);
    /// @brief Cancels a running job. @return whether there was one
    bool cancel(const std::string& job_id);
    bool is_running(const std::string& job_id) const;
    /// @brief Whether a task of a job may have run here in the last seconds or
    /// may still run, so that a request for it can't be refused as not run.
    bool may_have_run(const std::string& job_id) const;
    /// @brief Time since the last check whether this process was paused. What
    /// is read now may have been unread for as long.
    duration since_pause_check() const;

    // lookup
    /// @brief Whether the load balancer should route callers to this entry.
    bool ready() const;
    bool stopping() const noexcept;
    const job_scheduler& scheduler() const noexcept;
    const link_hub& links() const noexcept;
    const entry_links& entries() const noexcept;
    const entry_load_exchange& loads() const noexcept;
    const report_requester& reports() const noexcept;
    const job_relay& relay() const noexcept;

  private:
    // links
    void on_message(link_id link, message&& m);
    void on_heartbeat(link_id link, const heartbeat& beat);
    void on_closed(link_id link, const failure& why);
    void on_target_hello(link_id link, const target_hello& hello);
    void on_target_update(link_id link, const target_update& update);
    void add_peer(link_id link);
    void remove_peer(link_id link);
    void on_load(link_id link, const entry_load& load);
    /// @brief Closes links to entries that are no longer needed, once no
    /// relayed job uses them.
    void close_unneeded_peers(time_point now);
    void pass_on(const roster_update& changes);
    void pass_on(const crash_reports& news);
    void on_evacuation_update(link_id link, const evacuation_update& update);
    void send_evacuation(link_id link);
    void send_batch(agent_incarnation agent, const run_batch& batch);
    void send_cancel(agent_incarnation agent,
                     const std::vector<order_id>& orders);

    // jobs
    /// @brief Serves a job at this entry.
    void serve(job_caller caller, job_submission arrival);
    /// @brief Relays a new job if this entry exceeds its processor time.
    /// @return whether it was relayed
    bool try_relay(job_caller& caller, job_submission& arrival);
    void cancel_request(uint64_t number, const char* why);
    job_relay_hooks relay_hooks();
    void on_finish(job_key key, const job_outcome& outcome);
    void on_timer();
    /// @brief Ends what a pause of this process has made unreliable.
    void handle_pause(duration pause);
    void finish_stop();
    /// @brief Reports the phase of the start once this entry is ready.
    void report_readiness();

    node_context context_;
    entry_node_settings settings_;
    entry_node_hooks hooks_;
    time_point started_;
    route_table routes_;
    std::string configuration_text_;
    std::function<void()> configuration_handler_;
    std::function<std::size_t(time_point)> pause_handler_;
    job_scheduler scheduler_;
    link_hub hub_;
    tcp_listener listener_;
    entry_links entry_links_;
    std::set<link_id> peers_; ///< links to entries, dialed here or there
    std::map<link_id, failure_domain_name> peer_domains_; ///< those that dialed
    std::map<link_id, time_point> unneeded_peers_; ///< by when they became so
    report_requester reports_;
    entry_load_exchange loads_;
    relay_decision relay_decision_;
    job_relay relay_;
    std::map<link_id, agent_incarnation> agents_;
    std::map<agent_incarnation, link_id> agent_links_;
    waiting_callers callers_;
    watch timer_;
    time_point last_timer_;
    bool ready_reported_ = false;
    uint64_t last_key_ = 0; ///< also the number of jobs served here
    bool stopping_ = false;
    time_point stop_began_;
    std::function<void()> on_stopped_;
};

} // namespace agatebank
