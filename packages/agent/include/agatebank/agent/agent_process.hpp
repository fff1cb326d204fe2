#pragma once

#include <agatebank/agent/agent_settings.hpp>
#include <agatebank/agent/start_scheduler.hpp>
#include <agatebank/agent/target_availability.hpp>
#include <agatebank/agent/task_runner.hpp>
#include <agatebank/core/credit_allocator.hpp>
#include <agatebank/core/event.hpp>
#include <agatebank/core/hybrid_clock.hpp>
#include <agatebank/core/log.hpp>
#include <agatebank/http/http_client.hpp>
#include <agatebank/http/http_server.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/loop/timer_queue.hpp>
#include <agatebank/wire/endpoint_dialer.hpp>
#include <agatebank/wire/link_hub.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace agatebank
{

/// @brief Counters and current values of an agent.
struct agent_statistics
{
    uint64_t orders = 0;   ///< start orders received, including duplicates
    uint64_t accepted = 0; ///< starts accepted
    uint64_t refused = 0;  ///< new starts refused
    uint64_t repeated = 0; ///< duplicate orders
    uint64_t stale = 0;    ///< orders below the acknowledged floor
    uint64_t answered = 0; ///< runs with a complete answer
    uint64_t failed = 0;   ///< runs that failed
    uint64_t timed_out = 0;
    uint64_t unreachable = 0; ///< runs whose request did not reach the target
    uint64_t reports_sent = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t tracked = 0; ///< starts that have a record
    std::size_t unacknowledged = 0;
    std::size_t entries_connected = 0;
    uint32_t slots = 0;
    bool accepts_work = false;
    config_version version;
    link_traffic traffic;
};

/// @brief The agent of one target, on the same machine: receives its
/// announcements, divides its slots among the entries, accepts or refuses the
/// starts that they order, runs them by HTTP, and reports the results. On each
/// new connection it resends the reports that are not acknowledged.
class agent_process
{
  public:
    // construction
    agent_process(event_loop& loop, hybrid_clock& clock,
                  const authenticator& auth, event_ring& events, log_sink log,
                  agent_settings settings, random_source random);
    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;

    // lifetime
    /// @brief Binds the HTTP listener and starts to connect to the entries.
    /// @return errc::address_in_use, or errc::key_required if there is no
    /// shared key and an entry's address is not loopback
    result<void> start();
    /// @brief Stops gracefully: reports to the entries that the target accepts
    /// no work, refuses queued and new starts, and lets running ones end. Then
    /// waits until all reports are acknowledged and no credits are left, at
    /// most for agent_limits::stop_timeout.
    /// @param done called once, when the stop is complete
    void begin_stop(std::function<void()> done);

    // lookup
    http_server& http() noexcept;
    /// @brief The port the HTTP listener is bound to.
    uint16_t http_port() const noexcept;
    agent_incarnation incarnation() const noexcept;
    /// @brief Whether the target can take work and an entry is connected.
    bool ready() const;
    agent_statistics statistics() const;

  private:
    struct entry_session
    {
        link_id link;
        std::optional<entry_incarnation> entry;
        std::string name;
        bool hello_received = false; ///< entry_hello received on this link
        bool paused = false;         ///< entry connected at another address
        timer_id loss_timer;
    };

    // links
    void on_connected(std::size_t index, object_ptr<GSocketConnection> c);
    void on_closed(link_id link, const failure& why);
    void on_message(link_id link, message&& m);
    void on_entry_hello(std::size_t index, const entry_hello& m);
    void mark_entry_lost(std::size_t index);
    void pause_duplicates(std::size_t index, entry_incarnation entry);
    void resume_duplicates();
    std::optional<std::size_t> session_of(link_id link) const;
    std::optional<std::size_t> session_of(entry_incarnation entry) const;

    // messages of entries
    void on_entry_message(std::size_t index, message&& m);
    void on_orders(std::size_t index, start_orders&& m);
    void on_demand(entry_incarnation entry, const demand_update& m);
    void on_configuration(std::size_t index, const agent_configuration& m);
    void on_gather(std::size_t index, const gather_query& m);

    // target
    void add_routes();
    bool is_local(const std::string& peer) const;
    void on_announcement(const http_request& rq, const http_responder& respond);
    void on_withdrawal(const http_request& rq, const http_responder& respond);
    void check_announcement_timeout();
    void on_target_changed();
    void begin_runs();
    void on_run_ended(const start_key& key, run_result result);

    // deliveries
    void schedule_flush();
    void flush();
    void send_reports(const entry_session& s);
    void update_credits();
    void schedule_expiry();
    void try_complete_stop();
    void complete_stop();

    // records
    void record(event_kind kind, const std::string& peer,
                const std::string& detail = {});
    void record_start(event_kind kind, const submission_id& submission,
                      task_index task, const std::string& peer,
                      const std::string& detail = {});
    void count(start_verdict verdict);

    event_loop& loop_;
    const authenticator& auth_;
    event_ring& events_;
    log_sink log_;
    agent_settings settings_;
    agent_incarnation self_;
    timer_queue timers_;
    http_server http_;
    http_client client_;
    target_availability availability_;
    start_scheduler scheduler_;
    credit_allocator credits_;
    task_runner runner_;
    link_hub hub_;
    endpoint_dialer dialer_;
    std::vector<entry_session> sessions_;
    std::map<start_key, runnable_start> running_starts_;
    agent_statistics counters_;
    time_point last_announcement_;
    timer_id announcement_timer_;
    timer_id expiry_timer_;
    timer_id stop_timer_;
    std::function<void()> on_stopped_;
    uint16_t http_port_ = 0;
    bool flush_pending_ = false;
    bool target_changed_ = false;
    bool stopping_ = false;
};

} // namespace agatebank
