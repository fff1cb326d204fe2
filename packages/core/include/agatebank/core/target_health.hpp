#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/random_jitter.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <map>

namespace agatebank
{

/// @brief Whether a target may be given work.
enum class health_state
{
    healthy, ///< up to its credits
    suspect, ///< one start at a time, until one is answered
    ejected, ///< none until its period is over
    probing  ///< one start, whose end decides
};

/// @brief Tunables of the ejection.
struct health_options
{
    double max_ejected_share = 0.34; ///< of all targets, rounded down
    duration first_period = std::chrono::seconds(1);
    duration longest_period = std::chrono::seconds(60);
    uint64_t seed = 1; ///< of the jitter
};

/// @brief Judges the targets of one entry by their failures against those of
/// their peers, and by silence.
///
/// A target whose latest starts failed for several jobs, at a ratio well
/// above its peers', is ejected for a period that doubles with each failed
/// probe. At most a stated share is ejected; beyond it, and before enough
/// failures are seen, a target is suspect. A target that answers nothing for
/// longer than nearly every run takes is suspect too: it gets no start while
/// one is unanswered. A failure that all peers share, such as a job that can
/// never run, ejects nobody.
///
/// An ejected target always comes back: when its period is over it is
/// probed, and one answer makes it healthy.
class health_monitor
{
  public:
    // construction
    explicit health_monitor(health_options options);

    // modifiers
    /// @brief Sets the first ejection period, for ejections to come.
    void set_first_period(duration period);
    void add(agent_incarnation agent);
    void remove(agent_incarnation agent);
    /// @param high run time at this target that few starts exceed
    void on_start(agent_incarnation agent, duration high, time_point now);
    void on_answer(agent_incarnation agent, time_point now);
    void on_failure(agent_incarnation agent, job_key job, time_point now);
    /// @brief A start ended without being run.
    void on_not_run(agent_incarnation agent);

    // lookup
    health_state state(agent_incarnation agent, time_point now) const;
    /// @brief Whether one more start may be sent. @complexity O(log n)
    bool may_start(agent_incarnation agent, time_point now) const;
    /// @brief Since when a target that is not healthy waits for a start that
    /// decides: the end of its period or of its latest start.
    time_point in_doubt_since(agent_incarnation agent) const;
    /// @brief Targets that are ejected or being probed.
    std::size_t ejected() const noexcept
    {
        return ejected_;
    }
    /// @brief The most that may be ejected now.
    std::size_t max_ejected() const;

  private:
    struct record
    {
        double failure_ratio = 0; ///< moving average
        unsigned failed_jobs = 0; ///< in a row, each job once
        job_key last_failed;
        unsigned in_flight = 0;
        time_point silent_since;
        duration high{};
        bool ejected = false;
        time_point ejected_until;
        duration period{};
        time_point healthy_since;
    };

    double peer_failure_ratio(const record& r) const;
    bool is_outlier(const record& r) const;
    void eject(record& r, time_point now);
    void release_one();
    static bool is_silent(const record& r, time_point now);
    static void end_start(record& r, time_point now);

    health_options options_;
    random_jitter jitter_;
    std::map<agent_incarnation, record> records_;
    double ratio_sum_ = 0; ///< of the failure ratios of all targets
    std::size_t ejected_ = 0;
};

} // namespace agatebank
