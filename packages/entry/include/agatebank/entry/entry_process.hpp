#pragma once

#include <agatebank/core/log.hpp>
#include <agatebank/entry/agent_directory.hpp>
#include <agatebank/entry/caller_api.hpp>
#include <agatebank/entry/configuration_holder.hpp>
#include <agatebank/entry/entry_directory.hpp>
#include <agatebank/entry/entry_settings.hpp>
#include <agatebank/entry/event_collector.hpp>
#include <agatebank/entry/forwarder.hpp>
#include <agatebank/entry/gatherer.hpp>
#include <agatebank/entry/job_service.hpp>
#include <agatebank/entry/peer_links.hpp>
#include <agatebank/entry/submission_service.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace agatebank
{

/// @brief Objects and values that an entry is constructed with; the referenced
/// objects must outlive it.
struct entry_dependencies
{
    event_loop& loop;
    hybrid_clock& clock;
    const authenticator& auth;
    event_ring& events;
    log_sink log;
    configuration_loader load_configuration;
    entry_incarnation incarnation; ///< drawn at random at each start
    dispatch_options policy;
};

/// @brief An entry: serves the HTTP interface for callers, dispatches tasks,
/// and holds the links to agents and to other entries.
class entry_process
{
  public:
    // construction
    entry_process(entry_dependencies dependencies, entry_settings settings);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    // lifetime
    /// @brief Binds all sockets and starts to serve.
    /// @return errc::key_required when the wire address is not a loopback
    /// address and no shared key is set, or the error of a socket
    result<void> start();
    /// @brief Stops gracefully: reports not ready, refuses new jobs, finishes
    /// and answers the admitted ones, then calls @p done. Waits for them no
    /// longer than the stop timeout.
    void begin_stop(std::function<void()> done);
    /// @brief The reason for which the process is not ready; empty when ready.
    std::optional<failure> readiness_error() const;

    // parts
    http_server& http() noexcept;
    configuration_holder& configuration() noexcept;
    const agent_directory& agents() const noexcept;
    const entry_directory& entries() const noexcept;
    const job_service& jobs() const noexcept;
    const submission_service& submissions() const noexcept;
    const link_hub& links() const noexcept;
    const dispatcher& job_dispatcher() const noexcept;
    event_collector& events() noexcept;
    const process_identity& identity() const noexcept;
    bool leaving() const noexcept;
    time_point now() const;

  private:
    // wiring
    agent_handlers make_agent_handlers();
    hub_handlers make_hub_handlers();

    // links
    void process_message(link_id link, message&& m);
    void process_forwarded(link_id link, const forward_request& request);
    void send_configuration(link_id link);
    void query_newer_configuration(const peer_record& peer);

    // agents
    void offer_target(agent_incarnation agent);
    void send_agent_configuration(agent_incarnation agent);
    void apply_configuration();

    // callers
    result<job_rules> find_job_rules(const caller_name& caller,
                                     const job_document& job) const;

    // stopping
    void stop_when_idle();
    bool idle() const;
    std::optional<failure> serving_error() const;

    entry_dependencies dependencies_;
    entry_settings settings_;
    process_identity identity_;
    submission_id_codec codec_;
    timer_queue timers_;
    tcp_connector connector_;
    dispatcher dispatcher_;
    configuration_holder configuration_;
    link_hub hub_;
    tcp_listener listener_;
    entry_directory entries_;
    agent_directory agents_;
    peer_links peer_links_;
    gatherer gatherer_;
    forwarder forwarder_;
    event_collector collector_;
    submission_service submissions_;
    job_service jobs_;
    http_server http_;
    std::unique_ptr<caller_api> caller_api_;
    bool started_ = false;
    bool leaving_ = false;
    time_point stop_deadline_;
    std::function<void()> on_stopped_;
};

} // namespace agatebank
