#pragma once

#include "node_cluster.hpp"
#include <agatebank/harness/refusal_record.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief What happened in a soak, and the checks that failed.
class soak_trace
{
  public:
    explicit soak_trace(event_loop& loop);

    void add(const std::string& text);
    /// @brief Records the failure of a check.
    void fail(const std::string& job, const std::string& text);
    /// @brief The failures, and all that happened to the first jobs of them.
    std::string report() const;
    /// @brief The first jobs whose checks failed.
    std::vector<std::string> failed_jobs() const;
    const std::vector<std::string>& failures() const noexcept;

  private:
    event_loop& loop_;
    time_point began_;
    std::vector<std::string> lines_;
    std::vector<std::string> failures_;
    std::vector<std::string> failed_jobs_;
};

/// @brief Callers that submit jobs all the time. Some leave early. One that
/// left, got 502 or 504 or lost its connection submits its job again after
/// 1,300 ms, to any entry. Checks each answer.
class soak_callers
{
  public:
    // construction
    soak_callers(node_cluster& cluster, soak_trace& trace, std::size_t entries,
                 uint64_t seed);
    ~soak_callers();
    soak_callers(const soak_callers&) = delete;
    soak_callers& operator=(const soak_callers&) = delete;

    // modifiers
    void start();
    /// @brief Submits no new jobs; open ones go on.
    void stop();
    /// @brief Whether a fault keeps the callers of an entry from an answer.
    /// @param lasting time for which it goes on to do so after its end
    void set_blocked(std::size_t entry, bool blocked, duration lasting = {});
    /// @brief Open connections to an entry will never bring an answer.
    void forget(std::size_t entry);
    /// @brief Checks that an entry serves new jobs.
    void check_served(std::size_t entry);

    // lookup
    std::size_t open_jobs() const;
    std::string summary() const;

  private:
    struct soak_job
    {
        std::string body;
        duration deadline{};
        int submissions = 0;
        int starts = 0;
        unsigned status = 0; ///< of the last answer
        std::size_t entry = 0;
        time_point submitted;
        bool waiting = false; ///< for an answer
        bool open = true;     ///< waits or will be submitted again
        bool forgotten = false;
        http_call_handle call;
        timer_id leave; ///< or submits again
        timer_id bound;
    };
    struct interval
    {
        time_point begin;
        time_point end;
    };

    uint64_t draw(uint64_t min, uint64_t max);
    void begin_job();
    std::string add_job(unsigned tasks, uint64_t run_ms, duration deadline);
    void submit(const std::string& id, std::size_t entry, bool may_leave);
    void on_answer(const std::string& id, unsigned status,
                   const std::string& body);
    void check_bound(const std::string& id);
    /// @brief Ends the wait for an answer.
    void end_wait(soak_job& job);
    void submit_again(const std::string& id);
    duration blocked(std::size_t entry, time_point since) const;
    void on_run(const std::string& task, const target_run& run,
                const std::string& event);
    void check_stall();

    node_cluster& cluster_;
    soak_trace& trace_;
    std::mt19937_64 random_;
    http_client client_;
    bool running_ = false;
    double rate_ = 0; ///< jobs a second
    timer_id next_job_;
    std::vector<std::vector<interval>> blocked_; ///< by entry
    std::map<std::string, soak_job> jobs_;
    refusal_record refusals_;
    std::map<std::string, std::size_t> outcomes_;
    std::size_t overlaps_ = 0;
    int over_capacity_ = 0;
    duration longest_stall_{};
    time_point last_tick_;
    watch tick_;
    watch rate_timer_;
};

} // namespace agatebank
