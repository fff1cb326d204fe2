#pragma once

#include <agatebank/http/http_client.hpp>
#include <agatebank/http/http_server.hpp>
#include <agatebank/loop/event_loop.hpp>
#include <agatebank/loop/timer_queue.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief A run of a task, as seen by its target.
struct target_run
{
    std::string target; ///< the id of the incarnation
    uint32_t run = 0;
    time_point started;
};

/// @brief A task that was started while it was running.
struct task_overlap
{
    std::string task;
    target_run earlier;
    target_run later;
};

/// @brief What all targets of a cluster did, for the tests to check.
struct run_ledger
{
    std::map<std::string, target_run> last_runs; ///< by task
    std::vector<task_overlap> overlapping; ///< one for each of the overlaps
    /// Called with what a target did with a run, such as "started".
    std::function<void(const std::string& task, const target_run&,
                       const std::string& event)>
        on_event;

    std::map<std::string, int> running; ///< number of runs now, by task
    std::map<std::string, int> starts;  ///< number of starts, by task
    /// If set, the next start breaks its target's connections when it is read,
    /// and is carried out this long after. The target refuses the start after
    /// it with 503.
    std::optional<duration> broken_start;
    int overlaps = 0;   ///< starts of a task that was running on some target
    int wrong_kind = 0; ///< starts on a target of another kind, see below
    int drains = 0;     ///< incarnations whose drain was acknowledged
    /// starts later than the limit after a target's drain was acknowledged
    std::vector<std::string> starts_while_draining;
    int over_capacity = 0;              ///< starts beyond a target's capacity
    std::map<std::string, int> crashes; ///< targets that crashed, by task
    /// starts of a task after it had crashed three targets, by task
    std::map<std::string, int> starts_after_crashes;
};

/// @brief Payload of a job whose first task crashes each target that starts it.
inline const std::string crashing_payload = "crash";

/// @brief Start of the payload of a job whose tasks run for the number of
/// milliseconds that follows.
inline const std::string timed_payload = "run-ms:";

/// @brief Start of the payload of a job whose tasks need a target of the kind
/// that follows. Such jobs state it as a requirement, too.
inline const std::string kind_payload = "kind:";

/// @brief How a target handles starts.
enum class target_mode
{
    healthy,
    failing,     ///< each run fails at once
    stalled,     ///< runs make no progress and never end
    unresponsive ///< starts are carried out but not answered
};

/// @brief Stand-in of a target. Serves the published calls to start and stop
/// runs and to extend the lease and list the runs, and announces itself to its
/// agent.
class target_stand_in
{
  public:
    // construction
    /// @param run_time of each task
    target_stand_in(event_loop& loop, timer_queue& timers, run_ledger& ledger,
                    std::string id, const std::string& address, uint16_t port,
                    std::string agent_address, duration run_time);

    // modifiers
    void set_mode(target_mode mode);
    /// @brief Sets whether calls with an outdated fencing token are refused.
    void set_checks_fences(bool checks);
    void set_draining();
    /// @brief From now on, calls are carried out this long after they were
    /// read, by the next incarnation if the target has restarted meanwhile. A
    /// crash discards them.
    void set_call_delay(duration delay);
    /// @brief Sets whether calls to stop a run are lost: neither carried out
    /// nor answered.
    void set_loses_stops(bool loses);
    /// @brief From now on, the first call to start a task is carried out this
    /// long after it was read, and later ones are refused at once.
    /// @param status 409 for lack of room, or 503
    void set_refuses_repeated_starts(duration first_delay, unsigned status);
    /// @brief Notes that the agent was killed and started again: it isn't
    /// judged by what it starts until it has been in touch for a while.
    void on_agent_restarted();
    /// @brief Announces itself with another period, first after an offset.
    void set_announcement_period(duration period, duration offset);
    /// @brief From now on, in later incarnations too, each announcement has a
    /// sequence number that is higher by @p step. The first one has @p first.
    void set_numbering(uint64_t first, uint64_t step);
    /// @brief Sets the failure domain that is announced, "z1" unless set.
    void set_failure_domain(std::string name);
    /// @brief Sets the kind that is announced, "a" unless set.
    void set_kind(std::string kind);
    /// @brief Changes the capacity, in tasks, of a target that starts all that
    /// it is asked to. Runs go on.
    void set_unguarded_capacity(std::size_t tasks);
    /// @brief Ends all runs and starts a new incarnation with the same id.
    /// @param announced at once; else with the next regular announcement
    void restart(bool announced = true);
    /// @brief Ends without a word: no run is reported, connections break and
    /// are refused. A new incarnation starts @p away later.
    /// @param keeps_id the new incarnation has the same id
    void crash(duration away, bool keeps_id = false);
    /// @brief Cuts the target off: calls under way get no answer, connections
    /// are refused, no announcement gets through, and runs go on until the
    /// lease ends.
    void cut_off();
    /// @brief Lets the same incarnation be reached again.
    void reconnect();

    // announcements, beside the regular ones
    /// @brief The target's next announcement.
    nlohmann::json next_announcement();
    /// @brief Sends an announcement to the agent, under any id.
    void send_announcement(const std::string& id, const nlohmann::json& body);
    void send_deregistration(const std::string& id);

    // lookup
    std::string address() const;
    const std::string& id() const noexcept;
    bool is_draining() const noexcept;
    std::size_t running() const noexcept;
    int starts() const noexcept;
    /// @brief Highest fencing token that the incarnation has seen.
    uint64_t fencing_token() const noexcept;
    /// @brief Whether the target has crashed or is cut off.
    bool is_away() const noexcept;

  private:
    struct run_record
    {
        uint32_t run = 0;
        time_point started;
        duration run_time{};
        timer_id end;
    };
    struct end_record
    {
        uint64_t position = 0;
        std::string task;
        uint32_t run = 0;
        std::string outcome;
    };
    /// A call that waits for the end of a run. Without a timer, a call that is
    /// never answered.
    struct waiting_call
    {
        http_responder respond;
        timer_id timer;
    };

    using call_handler = void (target_stand_in::*)(const nlohmann::json&,
                                                   const http_responder&);

    void open_server();
    void handle(call_handler handler, const nlohmann::json& body,
                const http_responder& respond);
    /// @brief Records a start in the ledger.
    void record_start(const std::string& task, uint32_t run);
    /// @brief Handles a start as run_ledger::broken_start says. @return whether
    /// it was so
    bool handled_as_broken(const nlohmann::json& body,
                           const http_responder& respond);
    void tell(const std::string& task, const run_record& run,
              const std::string& event) const;
    duration run_time_of(const nlohmann::json& start) const;
    void begin_incarnation(bool announced = true);
    /// @brief Refuses connections, without an answer to any call.
    void close_server();
    void announce();
    void send_to_agent(const std::string& path, const nlohmann::json& body,
                       http_completion done);
    /// @brief Carries out a start call, or what replaces it, see
    /// set_refuses_repeated_starts.
    void start_or_refuse(const nlohmann::json& body,
                         const http_responder& respond);
    void start(const nlohmann::json& body, const http_responder& respond);
    void stop(const nlohmann::json& body, const http_responder& respond);
    /// @brief Extends the lease and answers with the lists, after a run has
    /// ended or the requested wait has passed.
    void extend_and_list(const nlohmann::json& body,
                         const http_responder& respond);
    void extend(const nlohmann::json& body);
    void end(std::string task, const char* outcome);
    void end_all(const char* outcome);
    void answer_lists();
    nlohmann::json lists() const;
    int64_t clock_ms() const;
    /// @brief Whether the call's fencing token is outdated; records a new one.
    bool fenced(const nlohmann::json& body);

    event_loop& loop_;
    timer_queue& timers_;
    run_ledger& ledger_;
    std::string name_; ///< the same in all incarnations
    std::string id_;
    std::string agent_address_;
    duration run_time_;
    duration call_delay_{};
    duration first_start_delay_{};       ///< unused while the status is 0
    unsigned repeated_start_status_ = 0; ///< 0: later calls aren't refused
    std::set<std::string> called_tasks_; ///< while they are
    bool refuses_next_start_ = false;
    http_server_options listen_options_;
    std::unique_ptr<http_server> server_; ///< null while the target is away
    http_client client_;
    std::vector<http_call_handle> calls_;
    watch heartbeat_timer_;
    watch first_heartbeat_timer_;
    target_mode mode_ = target_mode::healthy;
    bool checks_fences_ = true;
    bool loses_stops_ = false;
    bool draining_ = false;
    /// when the agent first acknowledged that this incarnation drains
    std::optional<time_point> drain_acknowledged_;
    time_point judged_from_;
    std::string failure_domain_ = "z1";
    std::string kind_ = "a";
    std::size_t capacity_; ///< in tasks of one core
    bool guards_capacity_ = true;
    int lives_ = 1; ///< incarnations so far
    int64_t born_ms_ = 1000;
    time_point incarnation_began_;
    uint64_t first_sequence_ = 1;
    uint64_t sequence_step_ = 1;
    uint64_t next_sequence_ = 1;
    uint64_t fencing_token_ = 0;
    std::map<std::string, run_record> runs_;
    std::map<std::string, uint32_t> ended_runs_; ///< highest run, by task
    std::vector<end_record> unseen_ends_;
    uint64_t last_end_ = 0;
    timer_id lease_timer_;
    time_point lease_until_;
    std::map<int, waiting_call> waiting_;
    int last_waiting_ = 0;
    int starts_ = 0;
};

} // namespace agatebank
