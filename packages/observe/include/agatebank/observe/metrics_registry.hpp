#pragma once

#include <agatebank/core/strong_id.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief One label of a metric, such as service="pall-booking".
struct metric_label
{
    std::string name;
    std::string value;

    auto operator<=>(const metric_label&) const = default;
};

/// @brief Name, help text and labels of a metric. Metrics of the same name
/// differ by their labels.
struct metric_key
{
    std::string name; ///< ends with the unit, such as "_seconds"
    std::string help; ///< one sentence
    std::vector<metric_label> labels;
};

using counter_id = strong_id<struct counter_id_tag, std::size_t>;
using gauge_id = strong_id<struct gauge_id_tag, std::size_t>;
using distribution_id = strong_id<struct distribution_id_tag, std::size_t>;

/// @brief Statistics of a distribution; all zero when it has no samples.
struct distribution_summary
{
    uint64_t count = 0;
    double sum = 0;
    double mean = 0;
    double max = 0;
    double p50 = 0; ///< median
    double p99 = 0; ///< 99th percentile
};

/// @brief The metrics of one process: counters, gauges whose value is read by
/// a function, and distributions kept with Boost.Accumulators. Quantiles are
/// exact up to 32 samples; beyond, they are estimated in constant memory by the
/// extended P-square algorithm (Jain and Chlamtac 1985; Raatikainen 1987).
///
/// @code
/// metrics_registry metrics;
/// const auto starts = metrics.add_counter(
///     {"agatebank_starts_total", "Starts sent.", {}});
/// metrics.increment(starts);
/// @endcode
class metrics_registry
{
  public:
    /// @brief Returns the current value of a gauge.
    using gauge_hook = std::function<double()>;

    // construction
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    // metrics
    /// @brief Adds a counter. When a counter with this name and these labels
    /// exists, returns its id.
    /// @throw std::invalid_argument for a name that Prometheus does not allow,
    /// or that a metric of another kind has
    /// @complexity linear in the number of metrics; keep the id
    counter_id add_counter(const metric_key& key);
    /// @brief Adds a gauge. When a gauge with this name and these labels
    /// exists, replaces its hook.
    /// @throw std::invalid_argument see @ref add_counter
    gauge_id add_gauge(const metric_key& key, gauge_hook hook);
    /// @brief Adds a distribution; see @ref add_counter.
    /// @throw std::invalid_argument see @ref add_counter
    distribution_id add_distribution(const metric_key& key);

    // modifiers
    /// @brief Adds @p n to a counter.
    /// @complexity constant
    void increment(counter_id id, uint64_t n = 1);
    /// @brief Adds a sample to a distribution.
    /// @complexity constant
    void observe(distribution_id id, double sample);

    // lookup
    uint64_t value(counter_id id) const;
    double value(gauge_id id) const;
    distribution_summary summary(distribution_id id) const;

    // rendering
    /// @brief All metrics in the Prometheus text format, version 0.0.4. A
    /// distribution is a summary, with its maximum as a gauge NAME_max.
    std::string to_prometheus() const;
    /// @brief All metrics as JSON: {"metrics":[{"name","kind","labels",...}]}.
    nlohmann::json to_json() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace agatebank
