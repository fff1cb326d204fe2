#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/units.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <optional>

namespace agatebank
{

/// @brief Predicted run time of a task on a target of speed 1.
struct run_time_prediction
{
    duration mean{};    ///< expected value
    duration high{};    ///< exceeded by about one task in a thousand
    duration typical{}; ///< exceeded by about half of the tasks
};

/// @brief Decaying histogram of log(observed run time / expected run time).
/// Provides the mean ratio and the 0.999 quantile; both are cached.
class ratio_histogram
{
  public:
    // construction
    ratio_histogram();

    // modifiers
    void add(double log_ratio);

    // lookup
    double mean_ratio() const noexcept
    {
        return mean_ratio_;
    }
    double high_ratio() const noexcept
    {
        return high_ratio_;
    }

  private:
    static constexpr std::size_t bucket_count = 64;

    void refresh();

    std::array<double, bucket_count> counts_{};
    double total_ = 0;
    unsigned added_ = 0;
    double mean_ratio_ = 1;
    double high_ratio_ = 1;
};

/// @brief Learns run times from measured runs: one model for each service and
/// one speed for each agent's target.
///
/// log(run time) = m(service) + w(service) * (log(declared) - d(service))
///                 - log(speed(target)) + residual
///
/// All terms are exponentially weighted averages. w is the slope of the
/// regression of the observed on the declared time, so that declared times
/// have as much influence as they have been accurate. Residuals are clipped
/// before they change an average, so that a tail of long runs shifts neither
/// the model nor the speeds; the tail is recorded in a histogram of the
/// residuals.
///
/// @code
/// run_time_estimator times(true);
/// times.observe(service, agent, declared, measured);
/// const auto expected = times.predict(service, declared);
/// const auto there = expected.mean / times.speed(agent);
/// @endcode
class run_time_estimator
{
  public:
    // construction
    /// @param learns whether to learn; if false, predictions are the declared
    /// times
    explicit run_time_estimator(bool learns);

    // modifiers
    /// @brief Updates the model and the target's speed with a measured run.
    /// @complexity O(log n)
    void observe(const service_name& service, agent_incarnation agent,
                 std::optional<duration> declared, duration run_time);
    void remove(agent_incarnation agent);
    /// @brief Sets the initial speed of a target, from which learning proceeds.
    void set_initial_speed(agent_incarnation agent, double speed);
    /// @brief Sets a speed that was learned elsewhere. Runs observed here no
    /// longer change it.
    /// @param samples number of runs from which it was learned
    void set_learned_speed(agent_incarnation agent, double speed,
                           double samples);

    // lookup
    run_time_prediction predict(const service_name& service,
                                std::optional<duration> declared) const;
    /// @brief Learned speed of a target relative to the reference speed 1; 1 if
    /// it is unknown.
    double speed(agent_incarnation agent) const;
    /// @brief Number of runs from which a target's speed was learned.
    double samples(agent_incarnation agent) const;
    /// @brief Number of runs from which the model of a service was learned.
    double samples(const service_name& service) const;

  private:
    struct service_model
    {
        double count = 0;
        double log_mean = 0;
        double declared_mean = 0;
        double declared_variance = 0;
        double covariance = 0;
        ratio_histogram residuals;

        double hint_weight() const;
        double expected_log(std::optional<duration> declared) const;
    };
    struct target_speed
    {
        double count = 0;
        double log_speed = 0;
        bool learned_elsewhere = false;
    };

    bool learns_;
    std::map<service_name, service_model> services_;
    std::map<agent_incarnation, target_speed> speeds_;
};

} // namespace agatebank
