#pragma once

#include <agatebank/core/crash_history.hpp>
#include <agatebank/core/ids.hpp>
#include <agatebank/core/job_plan.hpp>
#include <agatebank/core/log.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/core/route_table.hpp>
#include <agatebank/core/run_order.hpp>
#include <agatebank/fleet/arrival_hold.hpp>
#include <agatebank/fleet/crash_containment.hpp>
#include <agatebank/fleet/ended_submissions.hpp>
#include <agatebank/fleet/evacuated_targets.hpp>
#include <agatebank/fleet/forecast_correction.hpp>
#include <agatebank/fleet/job_admission.hpp>
#include <agatebank/fleet/job_explanation.hpp>
#include <agatebank/fleet/job_forecast.hpp>
#include <agatebank/fleet/load_shedding.hpp>
#include <agatebank/fleet/order_return.hpp>
#include <agatebank/fleet/own_delay_estimator.hpp>
#include <agatebank/fleet/placement.hpp>
#include <agatebank/fleet/scheduled_job.hpp>
#include <agatebank/fleet/target_load_tracker.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatebank
{

/// @brief Callbacks that carry out the decisions of a job_scheduler.
struct job_scheduler_hooks
{
    std::function<void(agent_incarnation, const run_batch&)> send;
    std::function<void(agent_incarnation, const std::vector<order_id>&)> cancel;
    std::function<void(job_key, const job_outcome&)> finish;
    log_sink log;
    /// number of entries among which jobs are spread; unset: 1
    std::function<std::size_t()> entry_count{};
};

/// @brief Event counts since construction.
struct job_scheduler_counts
{
    uint64_t admitted = 0;
    uint64_t refused = 0;
    uint64_t succeeded = 0;
    uint64_t failed = 0;
    uint64_t abandoned = 0;
    uint64_t cancelled = 0;
    uint64_t orders = 0;
    uint64_t repeated_orders = 0;   ///< orders of a task after its first
    uint64_t isolated_orders = 0;   ///< orders that run alone at their target
    uint64_t failed_by_crashes = 0; ///< jobs whose task crashes its targets
    uint64_t refused_on_probation = 0; ///< jobs of a route on probation
    uint64_t held = 0; ///< jobs that waited for targets to be discovered
    uint64_t returned_early = 0; ///< orders returned as ending too late
    /// orders of such tasks at another target
    uint64_t moved_orders = 0;
    uint64_t shed = 0; ///< jobs refused as late while overloaded
    /// jobs refused as useless by the corrected forecast
    uint64_t refused_as_useless = 0;
    /// jobs given up since a lost run may go on for too long
    uint64_t lost_too_late = 0;
    uint64_t locality_waits = 0; ///< orders that waited near their data
    /// of these, the ones that ended otherwise than with a complete run
    uint64_t locality_waits_given_up = 0;
    uint64_t locality_elsewhere = 0;  ///< orders sent away from their data
    uint64_t locality_granted_ms = 0; ///< over the waits that are over
    uint64_t locality_waited_ms = 0;
    /// ends before and after the end that was expected elsewhere
    uint64_t locality_gained_ms = 0;
    uint64_t locality_lost_ms = 0;
};

/// @brief Settings of a job_scheduler.
struct job_scheduler_options
{
    /// Time after which a lost agent has stopped all runs of this entry: the
    /// agent's silence timeout plus the time that a stop takes.
    duration lost_agent_grace = std::chrono::milliseconds(1100);
    double remote_data_factor = 1;            ///< see placement_request
    time_point started;                       ///< of the process
    duration discovery_window{};              ///< see arrival_hold_input
    bool shed_load = true;                    ///< see decide_shedding
    locality_rule locality = decide_locality; ///< see placement_request
    bool wait_for_earlier_runs = true;        ///< see ended_submissions
};

/// @brief Schedules the jobs of one entry, from admission to the answer. Does
/// no I/O and reads no clock: callers pass the current time, and decisions are
/// passed to the hooks.
///
/// A task is waiting, ordered at one agent, or done. It becomes waiting again
/// only after the agent has reported the end of its order, or after the time
/// in which a lost agent stops the run, so it never runs twice at once.
///
/// A task that is suspect of crashing its targets runs alone, on one of the few
/// targets of select_probation_targets. A job of a route on probation starts
/// with one task in this way; its other tasks run on the other targets once it
/// is done. While all probation targets are taken or away, further jobs of the
/// route are refused. Tasks that are known to crash targets fail their job.
class job_scheduler
{
  public:
    // construction
    job_scheduler(job_scheduler_options options, job_scheduler_hooks hooks);

    // targets
    void put_target(agent_incarnation agent, const target_profile& profile,
                    time_point now);
    void set_load(agent_incarnation agent, const target_load& load,
                  time_point now);
    /// @brief Removes the target of an agent whose link is lost. The agent may
    /// still run its orders until lost_agent_grace has passed; only then are
    /// their tasks placed again.
    void remove_target(agent_incarnation agent, time_point now);
    /// @brief Applies a state of the evacuated failure domains if its version
    /// is higher than that in force. Targets in evacuated domains get no work.
    /// A job that then has no target left for a waiting task ends in the next
    /// tick, as not run if none of its tasks may have run.
    /// @param source of the state, for the log
    /// @return whether it was applied
    bool set_evacuation(const evacuation_state& state,
                        const std::string& source);

    // jobs
    /// @brief Admits a job and places its first tasks, or refuses it. The
    /// finish hook may be called before this returns.
    /// @param key chosen by the caller; must not be reused
    void admit(job_key key, job_submission submission, time_point now);
    /// @brief Removes a job that nobody waits for, and stops its runs. The
    /// finish hook is not called.
    /// @param why reason for the log
    void cancel(job_key key, const char* why, time_point now);
    /// @brief Ends all jobs as abandoned. Used at shutdown, and after the
    /// process was paused for so long that agents may have stopped its runs.
    /// @param why reason for the log
    void abandon_all(const char* why, time_point now);

    // reports
    /// @brief Remembers which tasks ran at targets that crashed.
    /// @return the reports that were not known
    std::vector<crash_report>
    on_crashes(const std::vector<crash_report>& reports, time_point now);
    void on_end(agent_incarnation agent, const order_result& end,
                time_point now);
    /// @brief Reports a measured delay of this process's event loop. Job ends
    /// are expected later by it.
    void on_loop_lag(duration lag, time_point now);
    /// @brief Places waiting tasks and ends jobs that reached their deadline.
    void tick(time_point now);

    // lookup
    std::size_t running_jobs() const noexcept;
    /// @brief Number of running jobs that wait for targets to be discovered.
    std::size_t held_jobs() const noexcept;
    const job_scheduler_counts& counts() const noexcept;
    const target_map& targets() const noexcept;
    const crash_containment& containment() const noexcept;
    const crash_history& crashes() const noexcept;
    const evacuated_targets& evacuated() const noexcept;
    /// @brief Finds a running job by the caller's id.
    std::optional<job_key> find(const std::string& id) const;
    /// @brief Whether a task of a job may have run here in the last seconds or
    /// may still run: the job is running, or an earlier submission of it had
    /// orders at agents when it ended, or ended runs.
    bool may_have_run(const std::string& id, time_point now) const;
    /// @brief Explains what @ref admit would do with a job now, if it was not
    /// submitted here before. Changes nothing
    /// and writes no log line: the decision is made on a copy of the targets
    /// and of what the entry has learned.
    /// @complexity that of admit, plus a copy of the targets and, for each
    /// described task, that of explain_placement
    job_explanation explain(job_submission submission, time_point now) const;

  private:
    using task_record = scheduled_task;
    using step_record = scheduled_step;
    using job_record = scheduled_job;

    struct order_ref
    {
        job_key job;
        uint32_t step = 0;
        uint32_t index = 0;
    };

    /// How an order waits in the queue of its agent.
    struct wait_limit
    {
        bool behind_others = false; ///< starts after all other orders
        duration longest{};         ///< 0: no limit
    };

    struct placed_task
    {
        uint32_t index = 0;
        placement_choice choice;
    };

    /// @brief Observes the decisions on a new job, to explain them.
    struct decision_observer
    {
        /// called with the choice for a task and the request that it answers
        std::function<void(const placement_request&, const task_record&,
                           const std::optional<placement_choice>&)>
            placement;
        std::function<void(const job_record&, const admission_input&)>
            admission;
    };

    /// @brief Copies what decides on a new job, and no running job.
    job_scheduler(const job_scheduler& other, job_scheduler_hooks hooks);
    static job_verdict to_verdict(const job_scheduler& trial,
                                  const job_plan& plan,
                                  const service_name& service,
                                  const job_explanation& explained,
                                  const std::optional<job_outcome>& outcome);
    placement_request to_request(const job_record& job, uint32_t step,
                                 time_point now) const;
    std::optional<placement_choice>
    choose_target_for(const placement_request& request, time_point now) const;
    speed_lookup speeds() const;
    std::vector<placed_task> choose_targets(job_key key, job_record& job,
                                            uint32_t step, time_point now);
    /// @brief Sends each task that may run alone to a probation target without
    /// such a task of this entry, and all others to the remaining targets.
    std::optional<placement_choice>
    choose_target_around_crashes(placement_request& request,
                                 const task_record& task, time_point now);
    void unblock_after_first_task(job_key key, job_record& job, time_point now);
    /// @brief Ends a job, or has its task run again, after the task's target
    /// was lost. @return whether the job has ended
    bool handle_target_loss(job_key key, job_record& job, const order_ref& ref,
                            time_point now);
    /// @brief Ends a job if the lost run of a task may go on for so long that
    /// the answer would be useless after another run.
    /// @return whether the job has ended
    bool end_if_lost_too_late(const order_ref& ref, time_point now);
    /// @brief Lets tasks of lost agents wait for a target once their runs are
    /// stopped. What entries heard of their targets meanwhile counts as if the
    /// agent had reported it.
    void release_lost_tasks(time_point now);
    bool has_free_probation_target(const service_name& service);
    /// @brief Returns whether a task waits for a probation target for so long
    /// that the job's answer would be useless.
    bool waits_in_vain(const job_record& job, time_point now) const;
    /// @brief Ends a job of which a task waits although no target outside the
    /// evacuated domains can run it. Called in a tick, when its other orders
    /// have been returned too: only then it is known that none has run.
    /// @return whether the job has ended
    bool end_if_evacuated(job_key key, time_point now);
    void send_orders(job_record& job, uint32_t step,
                     const std::vector<placed_task>& placed, time_point now);
    bool place_waiting(job_key key, job_record& job, time_point now);
    arriving_job to_arriving_job(const job_record& job, duration chain,
                                 duration objective) const;
    /// @brief Places the first tasks of a job that has no order yet, refuses
    /// the job or holds it until the next tick.
    void try_to_admit(job_key key, job_record& job, time_point now);
    /// @brief Decides whether a job that could be served is shed.
    /// @return why it is refused, or nothing if it is served
    std::optional<std::string> reason_to_shed(const job_record& job,
                                              const admission_input& admission,
                                              time_point now);
    /// @brief Returns whether a task of a job stalled, failed or was lost, so
    /// that its end says nothing about the load.
    static bool had_faults(const job_record& job);
    /// @brief Compares the end of an admitted job with the expected one.
    void observe_end(const job_record& job, job_result result, time_point now);
    /// @brief Decides between placing, holding and refusing a new job.
    arrival_action action_on_arrival(const job_record& job,
                                     const admission_input& admission,
                                     bool admitted, time_point now) const;
    /// @brief Withdraws the orders of a job, which have not been sent, so that
    /// its tasks can be placed anew.
    void hold(job_key key, job_record& job, time_point now);
    void admit_held(time_point now);
    /// @brief Ends a job, without a run, whose tasks lost their targets when it
    /// was submitted before.
    void end_at_admission(job_key key, const job_record& job);
    /// @brief Erases a job of which no order has been sent.
    void erase_unadmitted(job_key key, const job_record& job);
    void refuse(job_key key, job_record& job, duration retry_after,
                const std::string& why, bool no_target);
    void end_job(job_key key, const job_outcome& outcome, const char* why,
                 time_point now);
    /// @brief Ends a job whose end says nothing about the targets.
    void close_job(job_key key, const job_outcome& outcome, const char* why,
                   time_point now);
    using orders_by_agent = std::map<agent_incarnation, std::vector<order_id>>;
    /// @brief Removes the orders of a job that have not ended.
    /// @return their ids by agent
    orders_by_agent withdraw_orders(const job_record& job);
    /// @brief Cancels the orders that a job still has at agents, and erases
    /// the job.
    void cancel_and_erase(job_key key, time_point now);
    static time_point last_useful_end(const job_record& job);
    /// @brief Returns whether a task that was returned as past_deadline can
    /// still finish in time on a target that it has not been tried on.
    bool can_finish_elsewhere(const job_record& job, const order_ref& ref,
                              time_point now) const;
    void remove_placement(job_record& job, uint32_t step, task_record& task);
    /// @brief Measures the part of an order's time that its agent doesn't
    /// account for, and adds it to the delay of the job's steps.
    void observe_own_delay(job_record& job, const order_ref& ref,
                           const order_result& end, time_point now);
    bool complete_task(job_key key, job_record& job, const order_ref& ref,
                       time_point now);
    std::string targets_of(const job_record& job) const;
    /// @brief Moves tasks from blocked to waiting once all steps that they
    /// depend on are complete.
    void unblock_later_steps(job_key key, job_record& job, time_point now);
    // submitted again
    /// @brief Remembers a job that ends, if tasks of it may have run.
    void remember_end(const job_record& job, time_point now);
    /// @brief Lets the tasks of a new job wait until their runs of an earlier
    /// submission have been stopped.
    void apply_earlier_submission(job_record& job, time_point now);
    /// @brief The state of a task that nothing but an earlier run blocks.
    static task_state state_to_start(const task_record& task, time_point now);
    /// @brief Adds these waits to what decides on a new job.
    /// @param chain run time of its longest chain of steps
    void add_waits_for_stops(const job_record& job, duration chain,
                             admission_input& admission, time_point now) const;

    /// @brief Updates the forecast with the time of a run. Once the speed of a
    /// target is learned, runs during a slowdown are ignored, as they do not
    /// show its usual speed. Runs of a cold target are always ignored.
    void learn_run_time(const job_record& job, uint32_t step,
                        agent_incarnation agent, const order_result& end);
    /// @brief Counts where an order runs relative to its data, and decides how
    /// it waits at its target.
    wait_limit note_locality(scheduled_task& task,
                             const placement_choice& choice);
    /// @brief Logs a wait near the data whose end is not reported.
    void drop_wait(const job_record& job, uint32_t index, scheduled_task& task,
                   const char* why);
    /// @brief Counts and logs the end of a wait near the data.
    void settle_wait(const job_record& job, uint32_t index,
                     const locality_choice& wait, const order_result& end);
    void log(log_level level, const job_record& job, std::string text,
             int32_t task = -1) const;

    job_scheduler_options options_;
    job_scheduler_hooks hooks_;
    decision_observer observer_;
    job_forecast forecast_;
    forecast_correction forecast_error_;
    own_delay_estimator own_delay_;
    demand_tracker demand_;
    target_map targets_;
    crash_containment containment_;
    evacuated_targets evacuated_;
    time_point next_expiry_;
    ended_submissions ended_submissions_;
    std::map<job_key, job_record> jobs_;
    std::unordered_map<std::string, job_key> by_id_;
    std::unordered_map<order_id, order_ref> orders_;
    std::set<job_key> waiting_jobs_;
    std::set<job_key> held_jobs_;
    time_point next_held_decision_;
    std::optional<time_point> latest_discovery_;
    std::multimap<time_point, job_key> deadlines_;
    job_scheduler_counts counts_;
    uint64_t last_order_ = 0;
};

} // namespace agatebank
