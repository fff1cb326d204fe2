#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/random_jitter.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <map>

namespace agatebank
{

/// @brief Health of a target, which limits the starts it may get.
enum class health_state
{
    healthy, ///< as many starts as it has credits
    suspect, ///< one start at a time, until one is answered
    ejected, ///< no starts until the ejection period ends
    probing  ///< one start, whose outcome ends or renews the ejection
};

/// @brief Settings of the ejection.
struct health_options
{
    double max_ejected_share = 0.34; ///< of all targets, rounded down
    duration first_period = std::chrono::seconds(1);
    duration longest_period = std::chrono::seconds(60);
    uint64_t seed = 1; ///< of the jitter
};

/// @brief Outlier detection over the targets of one entry, by failure ratio
/// and by missing answers.
///
/// A target whose latest starts failed for several jobs in a row, at a ratio
/// well above that of its peers, is ejected for a period that doubles with each
/// failed probe. The share of ejected targets is limited; when the limit is
/// reached, and before enough failures are recorded, a failing target is
/// suspect instead. A target that answers nothing for longer than the high
/// quantile of its run times is suspect too: it gets no start while one is
/// unanswered. Failures common to all targets, such as those of a job that can
/// never run, eject no target.
///
/// An ejected target is always probed when its period ends, and one answer
/// makes it healthy.
class health_monitor
{
  public:
    // construction
    explicit health_monitor(health_options options);

    // modifiers
    /// @brief Sets the first ejection period. Ejections in progress keep
    /// theirs.
    void set_first_period(duration period);
    void add(agent_incarnation agent);
    void remove(agent_incarnation agent);
    /// @param high high quantile of the run time at this target
    void on_start(agent_incarnation agent, duration high, time_point now);
    void on_answer(agent_incarnation agent, time_point now);
    void on_failure(agent_incarnation agent, job_key job, time_point now);
    /// @brief Records that a start ended without having run.
    void on_not_run(agent_incarnation agent);

    // lookup
    health_state state(agent_incarnation agent, time_point now) const;
    /// @brief Whether one more start may be sent. @complexity O(log n)
    bool may_start(agent_incarnation agent, time_point now) const;
    /// @brief Time from which an unhealthy target needs a start to decide on
    /// its health: the end of its ejection period or of its latest start.
    time_point awaiting_start_since(agent_incarnation agent) const;
    /// @brief Number of targets that are ejected or being probed.
    std::size_t ejected() const noexcept
    {
        return ejected_;
    }
    /// @brief Maximum number of targets that may be ejected now.
    std::size_t max_ejected() const;

  private:
    struct record
    {
        double failure_ratio = 0; ///< moving average
        unsigned failed_jobs = 0; ///< in a row; consecutive failures of one
                                  ///< job count once
        job_key last_failed;
        unsigned in_flight = 0;
        time_point unanswered_since;
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
    static bool is_unresponsive(const record& r, time_point now);
    static void end_start(record& r, time_point now);

    health_options options_;
    random_jitter jitter_;
    std::map<agent_incarnation, record> records_;
    double ratio_sum_ = 0; ///< of the failure ratios of all targets
    std::size_t ejected_ = 0;
};

} // namespace agatebank
