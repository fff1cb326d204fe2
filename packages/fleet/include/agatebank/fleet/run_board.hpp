#pragma once

#include <agatebank/core/log.hpp>
#include <agatebank/core/run_order.hpp>
#include <agatebank/core/strong_id.hpp>
#include <agatebank/core/target_load.hpp>
#include <agatebank/core/target_port.hpp>
#include <agatebank/core/units.hpp>
#include <agatebank/fleet/run_watch.hpp>

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

/// @brief The entry that an order came from, by its link.
using order_source = strong_id<struct order_source_tag, uint64_t>;

/// @brief Where the board's decisions go.
struct run_board_hooks
{
    std::function<void(const run_name&, const std::string& payload)> start;
    std::function<void(const run_name&)> stop;
    std::function<void(order_source, const run_end&)> report;
    log_sink log;
};

/// @brief Figures of a board since its start.
struct run_board_counts
{
    uint64_t orders = 0;
    uint64_t starts = 0;
    uint64_t done = 0;
    uint64_t failed = 0;
    uint64_t stopped = 0;
    uint64_t stalled = 0;
    uint64_t not_run = 0;
    uint64_t unanswered_starts = 0;
};

/// @brief The work of one target: what waits for room there, what runs, and
/// what is being stopped. No I/O and no clock.
///
/// Load pattern: bursts beyond the target's room. What can still be on time
/// goes before what is late, by band and by the latest time to start; what
/// would reach its turn after its deadline is given back at once.
///
/// A run holds its room until the target lists its end, or until it is known
/// that it never began. An order is reported ended only then, so its entry
/// may place the task elsewhere at once.
class run_board
{
  public:
    // construction
    explicit run_board(run_board_hooks hooks);

    // target
    void set_capacity(const room& capacity, time_point now);
    /// @brief Whether new runs may begin. When not, what waits goes back.
    void set_open(bool open, time_point now);
    /// @brief Everything that ran is known to have ended: the target began a
    /// new life or its lease has lapsed.
    void on_runs_gone(const char* why, time_point now);
    /// @brief First list of a target's new life. What it doesn't name ended
    /// with the old one; what it names is a start that was carried out late,
    /// and is stopped.
    void on_new_life(const std::vector<listed_run>& running, time_point now);

    // orders
    void on_batch(order_source from, const run_batch& batch, time_point now);
    /// @brief The entry has no use for these any more.
    void on_cancel(order_source from, const std::vector<order_id>& ids,
                   time_point now);
    /// @brief The entry is gone or out of reach: its work is dropped.
    void on_source_lost(order_source from, time_point now);

    // answers of the target
    void on_start_answer(const run_name& name, start_answer answer,
                         time_point now);
    void on_stop_answer(const run_name& name, bool taken, time_point now);
    /// @param asked_at when the list was asked for
    void on_listing(const lease_answer& listing, time_point asked_at,
                    time_point now);

    /// @brief Starts what fits, drops what is too late, stops what stalls.
    void tick(time_point now);

    // lookup
    /// @brief The load to report; acceptance and order numbers are the
    /// owner's to fill in.
    target_load load(time_point now) const;
    /// @brief Time until the next run is expected to end; empty when nothing
    /// runs.
    std::optional<duration> next_end(time_point now) const;
    std::size_t running() const noexcept;
    std::size_t queued() const noexcept;
    const run_board_counts& counts() const noexcept;

  private:
    using run_key = std::pair<order_source, order_id>;
    enum class run_state : uint8_t
    {
        queued,
        starting,
        running,
        stopping
    };
    /// What an end now expected would be to the caller.
    enum class timeliness : uint8_t
    {
        on_time,
        late,
        useless
    };
    /// by timeliness, then by band, then by the time to start
    using queue_rank = std::tuple<timeliness, std::size_t, time_point, run_key>;
    struct run_record
    {
        std::string job;
        std::string payload;
        room each;
        uint32_t priority = 0;
        time_point objective;
        time_point useful_until;
        time_point deadline;
        run_order order;
        run_state state = run_state::queued;
        run_name name;
        time_point received;
        time_point started;
        time_point settled_at; ///< when the last start or stop was answered
        bool stop_taken = false;
        bool wanted = true; ///< its entry waits for the report
        run_outcome outcome = run_outcome::stopped; ///< of a stop
        int percent = 0;
        uint64_t last_listing = 0; ///< number of the last one that named it
        queue_rank rank;           ///< while it is queued
    };
    using record_map = std::map<run_key, run_record>;

    static timeliness timeliness_of(const run_record& r, time_point now);
    queue_rank rank_of(const run_key& key, const run_record& r,
                       time_point now) const;
    void enqueue(const run_key& key, run_record& r, time_point now);
    void start_next(time_point now);
    void drop_hopeless(time_point now);
    void start_run(const run_key& key, run_record& r, time_point now);
    void stop_run(run_record& r, run_outcome outcome, time_point now);
    void drop(const run_key& key, run_record& r, run_outcome outcome,
              time_point now);
    void finish(const run_key& key, run_outcome outcome, time_point now);
    void end_runs_but(const std::set<run_name>& kept, const char* why,
                      time_point now);
    void take_ends(const std::vector<listed_end>& ended, time_point now);
    void take_running(const lease_answer& listing, time_point asked_at,
                      time_point now);
    void check_missing(time_point asked_at, time_point now);
    void log(log_level level, const run_record& r, std::string text) const;

    run_board_hooks hooks_;
    room capacity_;
    room used_;
    bool open_ = false;
    record_map runs_;
    std::set<queue_rank> queue_;
    std::map<run_name, run_key> by_name_;
    uint64_t listings_ = 0; ///< taken in so far
    std::unordered_map<std::string, uint32_t> last_run_;
    run_watch watch_;
    run_board_counts counts_;
};

} // namespace agatebank
