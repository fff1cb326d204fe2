#pragma once

#include <agatebank/core/crash_report.hpp>
#include <agatebank/core/log.hpp>
#include <agatebank/core/run_order.hpp>
#include <agatebank/core/strong_id.hpp>
#include <agatebank/core/target_interface.hpp>
#include <agatebank/core/target_load.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/fleet/order_return.hpp>
#include <agatebank/fleet/target_health_estimator.hpp>
#include <agatebank/fleet/target_speed_estimator.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace agatebank
{

/// @brief Identifies the link, and so the entry, that an order came from.
using order_source = strong_id<struct order_source_tag, uint64_t>;

/// @brief A run that ended because its target crashed or went silent.
struct lost_run
{
    task_position task;
    route_name route;
    loss_number loss; ///< counted from 1; the same for all runs lost at once
    bool isolated = false;  ///< it was the only run
    bool confirmed = false; ///< it had started, and the target crashed
    bool started_last = false;
};

/// @brief Callbacks that carry out the decisions of a run_scheduler.
struct run_scheduler_hooks
{
    std::function<void(const run_id&, const std::string& payload)> start;
    std::function<void(const run_id&)> stop;
    std::function<void(order_source, const order_result&)> report;
    /// called before the reports of runs that ended with the target, and again
    /// when the loss is confirmed
    std::function<void(const std::vector<lost_run>&)> report_loss;
    log_sink log;
    /// whether orders of an entry may start now; the others wait in the queue.
    /// Empty: all may
    std::function<bool(order_source)> may_start = {};
    /// see target_interface::copies_of_start
    std::function<start_call_state(const run_id&)> copies_of_start = {};
};

/// @brief Settings of a run_scheduler.
struct run_scheduler_options
{
    order_return_options returns;
    bool report_hangs = true; ///< see target_load::hang_share
};

/// @brief Event counts since construction.
struct run_scheduler_counts
{
    uint64_t orders = 0;
    uint64_t starts = 0;
    uint64_t done = 0;
    uint64_t failed = 0;
    uint64_t stopped = 0;
    uint64_t stalled = 0;
    uint64_t hung = 0; ///< of the stalled runs, those without progress
    uint64_t not_run = 0;
    uint64_t unanswered_starts = 0;
    uint64_t target_losses = 0; ///< times that runs ended with the target
    uint64_t lost_runs = 0;     ///< runs that ended with the target
    uint64_t held_ends = 0;     ///< ends not reported at once, see end_hold
    uint64_t expired_holds = 0; ///< of these, reported without certainty
    /// queued orders that would have ended after their objective
    uint64_t returned_early = 0;
    uint64_t dropped_useless = 0; ///< queued orders without a useful answer
    uint64_t infeasible = 0;      ///< queued orders past their deadline
};

/// @brief Schedules the runs of one target: queues orders until the target has
/// free resources, starts them, and stops runs. Does no I/O and reads no
/// clock; callers pass the current time.
///
/// Load pattern: bursts that exceed the target's resources. Orders that can
/// still meet their objective precede late ones; within each group they are
/// sorted by priority band, then by latest start time. Orders whose wait is
/// too long are returned to the entry without waiting for their turn; see
/// decide_queued_order.
///
/// An isolated order starts only while no other run is active, and none starts
/// beside it: if the target crashes then, the cause is known.
///
/// A run keeps its resources until the target lists its end, or until it is
/// certain that it never started. An order is reported as ended only then, so
/// that its entry may place the task on another target at once without the
/// task running twice at the same time.
///
/// An end other than done is held while a copy of the start call may begin a
/// run at the target's next incarnation, which knows nothing of the end; see
/// run_state::held. Orders whose calls are settled are not delayed.
class run_scheduler
{
  public:
    // construction
    explicit run_scheduler(run_scheduler_hooks hooks,
                           run_scheduler_options options = {});

    // target
    void set_capacity(const resources& capacity, time_point now);
    /// @brief Sets until when the target is cold. Runs that start before then
    /// are expected to take longer, and nothing is learned from their time.
    void set_cold_until(time_point t);
    /// @brief Sets whether new runs may start. While they may not, queued and
    /// new orders are returned to their entries as not run.
    void set_accepting_orders(bool open, time_point now);
    /// @brief Stops the runs whose start the target has not yet answered, as a
    /// copy of the start request might be sent later. A run is returned as not
    /// run if all copies of its start call were answered with a refusal.
    void withdraw_starts(time_point now);
    /// @brief Ends all runs, which the target has killed, as its lease has
    /// expired.
    void on_lease_expired(time_point now);
    /// @brief Ends the orders of all runs, as the target refuses connections.
    /// It has crashed, or is cut off and runs on, which can't be told apart;
    /// its runs may go on until the lease expires. Runs that are listed later
    /// have no order and are stopped.
    /// @param lease_left time from @p now until the lease has certainly expired
    void on_target_unreachable(duration lease_left, time_point now);
    /// @brief Handles the first listing of a new incarnation of the target, or
    /// of this agent.
    /// Runs that are not listed ended with the previous incarnation. A listed
    /// run is a start request that the new incarnation carried out late; it is
    /// stopped, or has ended. Later copies are refused for their fencing token.
    void on_new_incarnation(const lease_answer& listing, time_point now);

    // orders
    void on_batch(order_source from, const run_batch& batch, time_point now);
    /// @brief Returns all orders of a batch as not run.
    void return_batch(order_source from, const run_batch& batch);
    /// @brief Removes queued orders and stops runs that the entry no longer
    /// needs. Their ends are not reported.
    void on_cancel(order_source from, const std::vector<order_id>& ids,
                   time_point now);
    /// @brief Cancels all orders of an entry whose link has closed or timed
    /// out.
    void on_source_lost(order_source from, time_point now);

    // responses of the target
    void on_start_answer(const run_id& id, start_answer answer, time_point now);
    void on_stop_answer(const run_id& id, bool taken, time_point now);
    /// @brief Applies the target's lists of running and of ended runs. Runs
    /// without an order are stopped: a previous agent left them, or the target
    /// carried out a start late. No other run starts until they have ended, as
    /// the resources that they hold are not known.
    /// @param asked_at when the listing was requested
    void on_listing(const lease_answer& listing, time_point asked_at,
                    time_point now);

    /// @brief Repeats unanswered stop requests, returns orders whose wait is
    /// too long, and starts the orders that fit.
    void tick(time_point now);

    // lookup
    /// @brief Returns the load to report to the entries. The caller fills in
    /// accepts_work and last_order_received.
    target_load load(time_point now) const;
    /// @brief Returns the time until the next run is expected to end, or
    /// nothing if there is no run.
    std::optional<duration> time_to_next_end(time_point now) const;
    std::size_t running() const noexcept;
    /// @brief Whether the end of some order is held. The target's lists should
    /// then be requested soon, as they show whether it has restarted.
    bool holds_ends() const noexcept;
    /// @brief Whether the target last listed runs that no order accounts for.
    bool has_unknown_runs() const noexcept;
    /// @brief Whether an entry has orders that have not ended.
    bool has_orders(order_source from) const;
    /// @brief When the run was told to stop that has been stopping for longest;
    /// empty if no run is.
    std::optional<time_point> oldest_stop() const;
    std::size_t queued() const noexcept;
    const run_scheduler_counts& counts() const noexcept;

  private:
    using order_key = std::pair<order_source, order_id>;
    enum class run_state : uint8_t
    {
        queued,
        starting,
        running,
        stopping,
        held ///< ended, and not reported yet
    };
    /// Which copies of its start call an end is held for.
    enum class end_hold : uint8_t
    {
        /// Those under way. The target is known to have ended the run, and
        /// refuses copies that reach it unless it restarts before.
        under_way,
        /// Those that were not answered too. The target may have restarted.
        unanswered
    };
    /// How the expected end of an order compares with its objective and with
    /// the time until which its result is useful to the caller.
    enum class timeliness : uint8_t
    {
        on_time, ///< by the objective
        late,    ///< after the objective, but still useful
        useless  ///< no longer useful
    };
    /// Sorts orders that wait near their data behind others, then by
    /// timeliness, priority band and latest start time.
    using queue_rank =
        std::tuple<bool, timeliness, std::size_t, time_point, order_key>;
    struct order_record
    {
        std::string job;
        std::string route;
        std::string payload;
        resources task_resources;
        uint32_t priority = 0;
        time_point objective;
        time_point useful_until;
        time_point deadline;
        run_order order;
        run_state state = run_state::queued;
        run_id current_run;
        time_point received;
        time_point started;
        /// when the latest stop request was sent, the latest start or stop
        /// request was answered, or the run was first listed as running
        time_point last_exchange_at;
        time_point stop_began; ///< when the run was first told to stop
        time_point held_since; ///< valid while held
        /// until then, the run of a lost target may go on
        time_point may_run_until;
        end_hold hold = end_hold::under_way; ///< valid while held
        /// the target refuses what was sent before its present incarnation
        bool copies_fenced = false;
        bool stop_accepted = false;
        bool cold = false;         ///< the target was cold at its start
        bool known_to_run = false; ///< its start was accepted, or it was listed
        bool start_unanswered = false; ///< the start call had no answer
        bool report_requested =
            true; ///< whether the entry still expects a report
        /// to be reported once a stop has taken effect or a hold is over
        run_outcome outcome = run_outcome::stopped;
        duration expected_wait{}; ///< of an order that is returned
        int percent = 0;
        time_point progressed_at; ///< when percent last changed
        bool hanging = false;     ///< as of the last listing
        uint64_t last_listed_in =
            0;           ///< number of the last listing to include it
        queue_rank rank; ///< valid while queued
    };
    /// A use of resources for which the target refused a start.
    struct capacity_refusal
    {
        resources use;
        time_point until; ///< the same use is not tried before
        duration pause{};
    };
    /// How the target was lost.
    struct target_loss
    {
        const char* why = ""; ///< for the log
        bool crashed = false; ///< it is known to have ended
        duration may_run{};   ///< longest time for which its runs may go on
    };
    using record_map = std::map<order_key, order_record>;

    static timeliness timeliness_of(const order_record& r, time_point now);
    /// @brief Whether an order may be queued for a place near its data although
    /// it could run elsewhere.
    static bool waits_near_data(const order_record& r);
    queue_rank rank_of(const order_key& key, const order_record& r,
                       time_point now) const;
    void enqueue(const order_key& key, order_record& r, time_point now);
    void start_next(time_point now);
    /// @brief Returns the expected run time, with the target's slowdown.
    duration expected_run(const order_record& r, time_point now) const;
    /// @brief Returns the queued orders that decide_queued_order does not let
    /// wait. Their starts are estimated from all work ahead of them; new
    /// orders can only delay them.
    void return_queued(time_point now);
    /// @brief Returns whether an order is not expected to start within the time
    /// granted for waiting near its data.
    bool is_overdue_wait(const order_record& r, duration wait,
                         time_point now) const;
    /// @brief Whether the target has just refused a start to this use of its
    /// resources, or to a smaller one.
    bool was_refused(const resources& use, time_point now) const;
    void on_capacity_refusal(const order_record& r, time_point now);
    /// @brief Forgets the run numbers of tasks without a started run. A number
    /// in use again would make two orders share one run.
    void forget_run_numbers();
    void start_run(const order_key& key, order_record& r, time_point now);
    void release_resources(const order_record& r);
    void stop_run(order_record& r, run_outcome outcome, time_point now);
    void cancel_order(const order_key& key, order_record& r,
                      run_outcome outcome, time_point now);
    void finish(const order_key& key, run_outcome outcome, time_point now);
    /// @brief Ends an order as soon as no copy of its start call may begin a
    /// run, at the latest max_end_hold after its start.
    void finish_settled(const order_key& key, run_outcome outcome,
                        end_hold hold, time_point now);
    /// @brief Whether a copy of the start call may begin another run, or has.
    /// The next incarnation accepts a copy as the earlier one does; only a
    /// listing of the followed incarnation, requested after the answer, shows
    /// that it was not the next one.
    bool may_start_again(const order_record& r, end_hold hold) const;
    /// @brief Whether the run of a started order may have begun, or may still
    /// begin at the target's next incarnation: true unless each copy of its
    /// start call was refused or can't have been received. Such an order is not
    /// reported as not run, as its job would then be refused.
    bool may_have_run(const order_record& r) const;
    /// @brief Reports the held ends for which the wait is over.
    /// @param kept runs that are held on
    void release_held(time_point now, const std::set<run_id>& kept = {});
    /// @brief To be called before a held order leaves that state.
    void leave_hold(const order_record& r);
    /// @brief Ends the orders of runs whose target was lost.
    /// @param kept runs that go on
    void finish_runs_except(const std::set<run_id>& kept,
                            const target_loss& loss, time_point now);
    /// @brief Reports that the target has crashed which refused connections
    /// before.
    void confirm_losses();
    void process_ended_runs(const std::vector<ended_run>& ended,
                            time_point now);
    /// @brief Updates health and speed with a run that has ended as done.
    void learn_from_run(const order_record& r, time_point now);
    void process_active_runs(const lease_answer& listing, time_point asked_at,
                             time_point now);
    void finish_unlisted_runs(time_point asked_at, time_point now);
    /// @brief Factor by which runs take longer that start now.
    double slowdown(time_point now) const;
    void log(log_level level, const order_record& r, std::string text) const;

    run_scheduler_hooks hooks_;
    run_scheduler_options options_;
    resources capacity_;
    resources used_;
    std::optional<capacity_refusal> refusal_;
    bool open_ = false;
    time_point cold_until_;
    record_map orders_;
    std::set<queue_rank> queue_;
    std::map<run_id, order_key> started_runs_;
    uint32_t isolated_runs_ = 0; ///< of the started ones
    std::size_t held_count_ = 0; ///< orders in the state held
    /// listed runs that no order accounts for; their resources are not known
    std::set<run_id> unknown_runs_;
    uint64_t listing_count_ = 0; ///< listings processed so far
    time_point last_asked_at_;   ///< when the newest of them was requested
    /// runs that had started when the target refused connections, until it is
    /// known whether it has crashed
    std::vector<lost_run> unconfirmed_losses_;
    std::unordered_map<std::string, uint32_t> last_run_numbers_;
    target_health_estimator health_;
    target_speed_estimator speed_;
    run_scheduler_counts counts_;
};

} // namespace agatebank
