#pragma once

#include <agatebank/core/crash_history.hpp>
#include <agatebank/core/evacuation_state.hpp>
#include <agatebank/core/target_interface.hpp>
#include <agatebank/fleet/run_scheduler.hpp>
#include <agatebank/node/announcement_filter.hpp>
#include <agatebank/node/entry_links.hpp>
#include <agatebank/node/heard_times.hpp>
#include <agatebank/node/load_reporter.hpp>
#include <agatebank/node/node_context.hpp>
#include <agatebank/node/target_lease.hpp>
#include <agatebank/wire/link_hub.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Start settings of an agent.
struct agent_node_settings
{
    std::vector<endpoint> seeds; ///< link addresses of entries to dial first
    lease_options lease;
    order_return_options returns; ///< of queued orders, to their entries
};

/// @brief An agent: runs the orders of all entries on its one target, within
/// that target's capacity. Owns the links to the entries, the target's
/// lease and the scheduler of its runs.
class agent_node
{
  public:
    // construction
    agent_node(node_context context, agent_node_settings settings,
               target_interface port);

    // lifecycle
    void start();
    /// @brief Returns queued orders to their entries as not run.
    /// @param done called once, when all runs have ended or the stop timed out
    void begin_stop(std::function<void()> done);
    /// @brief Adds entries to the roster. No entry is removed.
    void add_seeds(const std::vector<endpoint>& seeds);

    // announcements of the target
    /// @return errc::message_malformed if the announcement contradicts what the
    /// target itself answers or announced before
    result<void> on_announcement(const target_announcement& announcement);
    /// @brief The target has deregistered and accepts no more work.
    void on_deregistration(const std::string& target);

    // lookup
    /// @brief Whether the target answers and at least one entry is connected.
    bool ready() const;
    const run_scheduler& scheduler() const noexcept;
    const link_hub& links() const noexcept;
    const entry_links& entries() const noexcept;
    const evacuation_state& evacuation() const noexcept;
    /// @brief Whether the target's failure domain is evacuated.
    bool is_evacuated() const;

  private:
    struct entry_link
    {
        std::vector<order_result> pending_results; ///< not yet sent
        /// since when the link is to be closed, once its orders have ended
        std::optional<time_point> closing_since;
    };

    // links
    void on_opened(link_id link);
    void on_unneeded(link_id link);
    /// @brief Closes the links that are not needed and have no orders left.
    void close_unneeded(time_point now);
    void on_message(link_id link, message&& m);
    void on_closed(link_id link, const failure& why);
    void note_heard(link_id link);
    /// @brief Whether an order of an entry may start under the lease that the
    /// target has.
    bool may_start(order_source from);
    /// @brief Starts the orders that waited for a newer message of their entry.
    void start_waiting();
    void on_evacuation_update(link_id link, const evacuation_update& update);
    /// @brief Returns orders for another incarnation than the followed one.
    void return_batch(link_id link, const run_batch& batch);
    /// @brief Logs orders that were under way for long.
    void note_delay(link_id link, const run_batch& batch) const;
    void on_report_request(link_id link, const report_request& request);
    void send_crash_reports(const std::vector<lost_run>& lost);
    void queue_order_result(order_source to, const order_result& result);
    /// @brief Sends the pending order results, and the load where it is due.
    void flush();
    /// @brief Flushes once after the current event, however often called.
    void schedule_flush();
    void send_hello(link_id link);
    void send_hello_to_all();
    /// @brief The load to report, except for last_order_received, which differs
    /// by link.
    target_load current_load() const;
    /// @brief Whether new runs may start on the target.
    bool is_accepting_work(time_point now) const;

    // target
    void begin_incarnation(const target_announcement& announcement);
    /// @brief Takes over an announcement of the followed incarnation.
    void update_target(const target_announcement& announcement);
    /// @brief Follows whether the target drains, as the announcements tell.
    void update_drain();
    /// @brief Takes over for how long the target is cold.
    void set_cold(const target_announcement& announcement);
    void extend_lease();
    void on_lease_answer(const lease_answer& answer, time_point sent);
    void on_lease_failure(const lease_failure& why);
    void schedule_lease(duration delay);
    /// @brief Starts or stops accepting work, and reports it to the entries.
    void update_acceptance();
    /// @brief Takes over a target that another agent's token has fenced.
    void raise_fencing_token();
    /// @brief Names the followed incarnation and the fencing token to the port.
    void set_target();
    void start_run(const run_id& id, const std::string& payload);
    void stop_run(const run_id& id);
    void on_timer();

    node_context context_;
    agent_node_settings settings_;
    target_interface port_;
    run_scheduler scheduler_;
    link_hub hub_;
    entry_links entry_links_;
    std::map<link_id, entry_link> entries_;
    heard_times heard_;
    /// an order waits for a newer message of its entry
    bool starts_wait_ = false;
    load_reporter load_reporter_;
    /// told to each entry whose link opens, which may have missed them
    crash_history recent_crashes_;
    /// runs of a target that drained before it ended are not lost by a crash
    bool previous_target_drained_ = false;
    announcement_filter announcements_;
    std::optional<target_announcement> target_;
    target_lease lease_;
    evacuation_state evacuation_;
    uint64_t fencing_token_ = 0;
    uint64_t fencing_token_step_ = 0;
    end_position last_end_seen_; ///< last run end received
    /// latest one that answered before its announcement
    std::optional<target_incarnation> unannounced_;
    bool target_connected_ = false; ///< the last lease call succeeded
    bool runs_ended_ = true; ///< false from an extension until it expires
    bool first_list_pending_ = true; ///< of the present incarnation
    bool stopping_ = false;
    time_point stop_began_;
    bool flush_pending_ = false;
    watch lease_timer_;
    uint64_t last_lease_call_ = 0; ///< answers to earlier ones are ignored
    watch load_timer_;
    time_point load_timer_end_;
    watch timer_;
    time_point last_timer_;
    std::function<void()> on_stopped_;
};

} // namespace agatebank
