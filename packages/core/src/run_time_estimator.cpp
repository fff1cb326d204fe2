#include <agatebank/core/run_time_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr duration unknown_run_time = 200ms;
constexpr double initial_hint_weight = 0.5;
constexpr double hint_prior_samples = 10;
constexpr double model_window = 256; // samples of the moving averages
constexpr double speed_window = 32;
constexpr double residual_limit = 1.5; // difference of natural logarithms

constexpr double histogram_min = -4;
constexpr double bucket_width = 0.125;
constexpr double histogram_capacity = 4096; // samples; above it, all halve
constexpr double high_quantile = 0.999;
constexpr unsigned refresh_interval = 16; // samples
constexpr double prior_weight = 4;        // in samples, of each prior ratio

double log_us(duration d)
{
    return std::log(std::max<double>(1, static_cast<double>(d.count())));
}

duration from_us(double us)
{
    constexpr double max_us = 1e15;
    return duration(static_cast<int64_t>(std::min(us, max_us)));
}

double bucket_ratio(std::size_t i)
{
    return std::exp(histogram_min +
                    bucket_width * (static_cast<double>(i) + 0.5));
}

} // namespace

ratio_histogram::ratio_histogram()
{
    for (const double ratio : {-1.0, -0.5, 0.0, 0.5, 1.0, 2.0})
    {
        const auto at = (ratio - histogram_min) / bucket_width;
        counts_[static_cast<std::size_t>(at)] += prior_weight;
        total_ += prior_weight;
    }
    refresh();
}

void ratio_histogram::add(double log_ratio)
{
    const auto at = (log_ratio - histogram_min) / bucket_width;
    const auto last = static_cast<double>(bucket_count - 1);
    counts_[static_cast<std::size_t>(std::clamp(at, 0.0, last))] += 1;
    total_ += 1;
    if (total_ > histogram_capacity)
    {
        for (auto& n : counts_)
        {
            n /= 2;
        }
        total_ /= 2;
    }
    if (++added_ % refresh_interval == 0)
    {
        refresh();
    }
}

void ratio_histogram::refresh()
{
    double sum = 0;
    double cumulative = 0;
    high_ratio_ = 0;
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        sum += counts_[i] * bucket_ratio(i);
        cumulative += counts_[i];
        if (high_ratio_ == 0 && cumulative >= high_quantile * total_)
        {
            high_ratio_ = bucket_ratio(i) * std::exp(bucket_width / 2);
        }
    }
    mean_ratio_ = sum / total_;
}

run_time_estimator::run_time_estimator(bool learns) : learns_(learns) {}

double run_time_estimator::service_model::hint_weight() const
{
    const double prior = hint_prior_samples * declared_variance;
    const double slope = (covariance * count + initial_hint_weight * prior) /
                         (declared_variance * count + prior + 1e-9);
    return std::clamp(slope, 0.0, 1.0);
}

double run_time_estimator::service_model::expected_log(
    std::optional<duration> declared) const
{
    if (count == 0)
    {
        const auto known = log_us(unknown_run_time);
        return declared
                   ? initial_hint_weight * (log_us(*declared) - known) + known
                   : known;
    }
    return declared
               ? log_mean + hint_weight() * (log_us(*declared) - declared_mean)
               : log_mean;
}

void run_time_estimator::observe(const service_name& service,
                                 agent_incarnation agent,
                                 std::optional<duration> declared,
                                 duration run_time)
{
    if (!learns_)
    {
        return;
    }
    auto& model = services_[service];
    auto& target = speeds_[agent];
    const double expected = model.expected_log(declared);
    const double residual = log_us(run_time) + target.log_speed - expected;
    const double step = std::clamp(residual, -residual_limit, residual_limit);

    if (declared)
    {
        const double rate = 1 / std::min(model.count + 1, model_window);
        const double x = log_us(*declared);
        const double y = log_us(run_time) + target.log_speed;
        const double dx = x - (model.count == 0 ? x : model.declared_mean);
        const double dy = y - (model.count == 0 ? y : model.log_mean);
        model.declared_variance += rate * (dx * dx - model.declared_variance);
        model.covariance += rate * (dx * dy - model.covariance);
        model.declared_mean = x - dx + rate * dx;
    }
    model.log_mean =
        model.count == 0
            ? log_us(run_time)
            : model.log_mean + step / std::min(model.count + 1, model_window);
    model.residuals.add(residual);
    model.count += 1;

    if (target.learned_elsewhere)
    {
        return;
    }
    target.count += 1;
    target.log_speed -= step / std::min(target.count + 2, speed_window);
}

void run_time_estimator::remove(agent_incarnation agent)
{
    speeds_.erase(agent);
}

void run_time_estimator::set_initial_speed(agent_incarnation agent,
                                           double speed)
{
    speeds_[agent] = {0, std::log(speed), false};
}

void run_time_estimator::set_learned_speed(agent_incarnation agent,
                                           double speed, double samples)
{
    speeds_[agent] = {samples, std::log(speed), true};
}

run_time_prediction
run_time_estimator::predict(const service_name& service,
                            std::optional<duration> declared) const
{
    if (!learns_)
    {
        const auto d = declared.value_or(unknown_run_time);
        return {d, d, d};
    }
    static const service_model unknown;
    const auto it = services_.find(service);
    const auto& model = it == services_.end() ? unknown : it->second;
    const double us = std::exp(model.expected_log(declared));
    return {from_us(us * model.residuals.mean_ratio()),
            from_us(us * model.residuals.high_ratio()), from_us(us)};
}

double run_time_estimator::speed(agent_incarnation agent) const
{
    const auto it = speeds_.find(agent);
    return it == speeds_.end() ? 1 : std::exp(it->second.log_speed);
}

double run_time_estimator::samples(agent_incarnation agent) const
{
    const auto it = speeds_.find(agent);
    return it == speeds_.end() ? 0 : it->second.count;
}

double run_time_estimator::samples(const service_name& service) const
{
    const auto it = services_.find(service);
    return it == services_.end() ? 0 : it->second.count;
}

} // namespace agatebank
