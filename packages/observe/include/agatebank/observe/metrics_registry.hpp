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

/// @brief What a metric is called, and how it is told from others of the
/// same name.
struct metric_key
{
    std::string name; ///< with the unit at the end, such as "_seconds"
    std::string help; ///< one sentence
    std::vector<metric_label> labels;
};

using counter_id = strong_id<struct counter_id_tag, std::size_t>;
using gauge_id = strong_id<struct gauge_id_tag, std::size_t>;
using distribution_id = strong_id<struct distribution_id_tag, std::size_t>;

/// @brief Figures of a distribution; all zero without a sample.
struct distribution_summary
{
    uint64_t count = 0;
    double sum = 0;
    double mean = 0;
    double max = 0;
    double p50 = 0; ///< median
    double p99 = 0; ///< 99th percentile
};

/// @brief The metrics of one process: counters, gauges read through a hook,
/// and distributions held by Boost.Accumulators. Quantiles are exact up to
/// 32 samples and then estimated by the extended P-square algorithm (Jain and
/// Chlamtac 1985; Raatikainen 1987), in constant memory.
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
    /// @brief Reads a gauge's value now.
    using gauge_hook = std::function<double()>;

    // construction
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    // metrics
    /// @brief Adds a counter; a known name with the same labels gives the id
    /// it has.
    /// @throw std::invalid_argument for a name that Prometheus forbids, or
    /// that is taken by another kind
    /// @complexity linear in the metrics; keep the id
    counter_id add_counter(const metric_key& key);
    /// @brief Adds a gauge, or replaces the hook of a known one.
    /// @throw std::invalid_argument see @ref add_counter
    gauge_id add_gauge(const metric_key& key, gauge_hook hook);
    /// @brief Adds a distribution; see @ref add_counter.
    /// @throw std::invalid_argument see @ref add_counter
    distribution_id add_distribution(const metric_key& key);

    // modifiers
    /// @brief Raises a counter. @complexity constant
    void increment(counter_id id, uint64_t n = 1);
    /// @brief Takes a sample. @complexity constant
    void observe(distribution_id id, double sample);

    // lookup
    uint64_t value(counter_id id) const;
    double value(gauge_id id) const;
    distribution_summary summary(distribution_id id) const;

    // rendering
    /// @brief All metrics in the Prometheus text format, version 0.0.4;
    /// distributions as summaries, their maximum as a gauge NAME_max.
    std::string to_prometheus() const;
    /// @brief All metrics as {"metrics":[{"name","kind","labels",...}]}.
    nlohmann::json to_json() const;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace agatebank
