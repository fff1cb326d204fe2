#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/job_plan.hpp>
#include <agatebank/core/log.hpp>
#include <agatebank/core/result.hpp>
#include <agatebank/core/route_table.hpp>
#include <agatebank/core/run_order.hpp>
#include <agatebank/fleet/job_forecast.hpp>
#include <agatebank/fleet/placement.hpp>
#include <agatebank/fleet/target_board.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatebank
{

/// @brief A job as a caller hands it in.
struct job_arrival
{
    std::string id;
    route served_by;
    config_version version; ///< of the configuration that the route is from
    job_plan plan;
    duration deadline{}; ///< from now; past it the caller is gone
};

/// @brief How a job ended for its caller.
enum class job_result : uint8_t
{
    succeeded,
    failed,  ///< a task failed as often as the route allows
    not_run, ///< refused; none of its tasks ran or ever will
    gave_up  ///< no result; tasks may have run, none runs on
};

/// @brief The answer to a caller.
struct job_outcome
{
    job_result result = job_result::gave_up;
    duration retry_after{}; ///< with not_run
};

/// @brief Where the board's decisions go.
struct job_board_hooks
{
    std::function<void(agent_incarnation, const run_batch&)> send;
    std::function<void(agent_incarnation, const std::vector<order_id>&)> cancel;
    std::function<void(job_key, const job_outcome&)> finish;
    log_sink log;
};

/// @brief Figures of a board since its start.
struct job_board_counts
{
    uint64_t admitted = 0;
    uint64_t refused = 0;
    uint64_t succeeded = 0;
    uint64_t failed = 0;
    uint64_t gave_up = 0;
    uint64_t cancelled = 0;
    uint64_t orders = 0;
    uint64_t reorders = 0; ///< orders of a task beyond its first
};

/// @brief Figures that the deployment sets.
struct job_board_options
{
    /// Time after which an agent that was lost has stopped all runs of this
    /// entry: the agent's silence timeout, then the stop.
    duration lost_agent_grace = std::chrono::milliseconds(1100);
    double remote_data_factor = 1; ///< see placement_request
};

/// @brief The jobs of one entry, from admission to the answer. No I/O and no
/// clock: the time is passed in, decisions leave through the hooks.
///
/// A task waits, is ordered at one agent, or is done. It waits again only
/// after the agent reported that the order has ended, or after the time in
/// which a lost agent has stopped it, so it never runs twice at once.
class job_board
{
  public:
    // construction
    job_board(job_board_options options, job_board_hooks hooks);

    // targets
    void put_target(agent_incarnation agent, const target_profile& profile,
                    time_point now);
    void set_load(agent_incarnation agent, const target_load& load,
                  time_point now);
    /// @brief The link to an agent is gone; its orders are unknown until the
    /// agent has stopped them.
    void remove_target(agent_incarnation agent, time_point now);

    // jobs
    /// @brief Admits a job and places its first tasks, or refuses it. The
    /// finish hook may be called before this returns.
    /// @param key drawn by the caller; a key is used once
    void admit(job_key key, job_arrival arrival, time_point now);
    /// @brief Nobody waits for the job any more: stops its runs.
    void cancel(job_key key, const char* why);
    /// @brief Ends all jobs whose runs can't be trusted, after the process
    /// itself was paused for longer than agents keep its runs.
    void abandon_all(const char* why);

    // reports
    void on_end(agent_incarnation agent, const run_end& end, time_point now);
    /// @brief Places what waits, and ends what is past its deadline.
    void tick(time_point now);

    // lookup
    std::size_t running_jobs() const noexcept;
    const job_board_counts& counts() const noexcept;
    const target_map& targets() const noexcept;
    /// @brief The job with a caller's id, if it runs here.
    std::optional<job_key> find(const std::string& id) const;

  private:
    enum class task_state : uint8_t
    {
        blocked, ///< an earlier step isn't complete
        waiting,
        ordered,
        lost, ///< its agent is gone and may still run it
        done
    };

    struct task_record
    {
        task_state state = task_state::blocked;
        order_id order;
        agent_incarnation agent;
        uint32_t attempt = 0;
        uint32_t failures = 0;
        uint32_t stalls = 0;
        time_point lost_until;
        std::set<agent_incarnation> excluded;
    };

    struct step_record
    {
        std::vector<task_record> tasks;
        uint32_t undone = 0;
        std::map<agent_incarnation, uint32_t> placed;
    };

    struct job_record
    {
        job_arrival arrival;
        std::vector<step_record> steps;
        time_point arrived;
        time_point objective;
        time_point useful_until;
        time_point deadline;
        uint32_t undone_steps = 0;
        bool may_have_run = false;
        uint32_t waiting = 0; ///< tasks in state waiting or lost
    };

    struct order_ref
    {
        job_key job;
        uint32_t step = 0;
        uint32_t index = 0;
    };

    struct placed_task
    {
        uint32_t index = 0;
        placement_choice choice;
    };

    placement_request to_request(const job_record& job, uint32_t step,
                                 time_point now) const;
    std::optional<placement_choice> choose_for(const placement_request& rq,
                                               time_point now) const;
    std::vector<placed_task> choose(job_key key, job_record& job, uint32_t step,
                                    time_point now);
    void order(job_record& job, uint32_t step,
               const std::vector<placed_task>& placed, time_point now);
    bool place_waiting(job_key key, job_record& job, time_point now);
    void refuse(job_key key, job_record& job, duration retry_after,
                const std::string& why);
    void settle(job_key key, const job_outcome& outcome, const char* why,
                time_point now);
    using orders_by_agent = std::map<agent_incarnation, std::vector<order_id>>;
    /// @brief Forgets the orders of a job that have not ended.
    orders_by_agent withdraw_orders(const job_record& job);
    /// @brief Cancels what a job still has at the agents, and forgets it.
    void stop_and_drop(job_key key);
    /// @brief Whether any task ran or may still run.
    static bool has_run(const job_record& job);
    static time_point last_useful_end(const job_record& job);
    /// @brief Whether a task that a target gave back, as its queue there is
    /// too long, still ends in time on a target that has not been tried.
    bool may_end_elsewhere(const job_record& job, const order_ref& ref,
                           time_point now) const;
    void unplace(job_record& job, uint32_t step, task_record& task);
    bool complete_task(job_key key, job_record& job, const order_ref& ref,
                       time_point now);
    std::string targets_of(const job_record& job) const;
    /// @brief Lets the tasks wait whose earlier steps are now complete.
    void open_later_steps(job_key key, job_record& job);
    void learn(const job_record& job, uint32_t step, agent_incarnation agent,
               const run_end& end);
    void log(log_level level, const job_record& job, std::string text,
             int32_t task = -1) const;

    job_board_options options_;
    job_board_hooks hooks_;
    job_forecast forecast_;
    target_map targets_;
    std::map<job_key, job_record> jobs_;
    std::unordered_map<std::string, job_key> by_id_;
    std::unordered_map<order_id, order_ref> orders_;
    std::set<job_key> waiting_;
    std::multimap<time_point, job_key> deadlines_;
    job_board_counts counts_;
    uint64_t last_order_ = 0;
};

} // namespace agatebank
