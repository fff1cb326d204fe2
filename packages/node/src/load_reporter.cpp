#include <agatebank/node/load_reporter.hpp>

#include <algorithm>
#include <cstdlib>
#include <numeric>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// A change of used plus queued CPU is large above this share of capacity.
constexpr double large_change_share = 0.2;

int64_t queued_cpu(const target_load& l)
{
    return std::accumulate(l.queued_cpu_millis.begin(),
                           l.queued_cpu_millis.end(), int64_t{0});
}

// Whether the amount of work differs enough to be reported after one period.
bool is_large_change(const target_load& load, const target_load& reported)
{
    const auto change =
        std::abs(load.used.cpu_millis - reported.used.cpu_millis) +
        std::abs(queued_cpu(load) - queued_cpu(reported));
    return static_cast<double>(change) >
           large_change_share * static_cast<double>(load.capacity.cpu_millis);
}

} // namespace

load_reporter::load_reporter(sender send) : send_(std::move(send)) {}

// modifiers

void load_reporter::add_link(link_id link)
{
    links_[link] = {};
}

void load_reporter::remove_link(link_id link)
{
    links_.erase(link);
}

void load_reporter::on_orders(link_id link, const run_batch& batch)
{
    auto& last = links_.at(link).last_order_received;
    for (const auto& it : batch.orders)
    {
        last = std::max(last, it.id.value());
    }
}

target_load load_reporter::greet(link_id link, target_load load)
{
    auto& state = links_.at(link);
    load.last_order_received = state.last_order_received;
    state.reported = load;
    return load;
}

duration load_reporter::set_period(link_id link, duration requested)
{
    return links_.at(link).period = clamp_report_period(requested);
}

std::optional<duration> load_reporter::report(link_id link, target_load load,
                                              bool with_results, time_point now)
{
    auto& state = links_.at(link);
    load.last_order_received = state.last_order_received;
    if (load == state.reported)
    {
        return std::nullopt;
    }
    const auto wait = time_to_report(state, load, with_results, now);
    if (wait > duration(0))
    {
        // A small change can become a large one without an event.
        return std::clamp(wait, min_report_period, state.period);
    }
    send_(link, target_update{load});
    state.reported = load;
    state.reported_at = now;
    return std::nullopt;
}

duration load_reporter::time_to_report(const link_state& state,
                                       const target_load& load,
                                       bool with_results, time_point now)
{
    if (load.accepts_work != state.reported.accepts_work ||
        (with_results && state.period > min_report_period))
    {
        return duration(0);
    }
    auto period = small_change_report_period(state.period);
    if (is_class_change(load, state.reported))
    {
        period = min_report_period;
    }
    else if (is_large_change(load, state.reported))
    {
        period = state.period;
    }
    return state.reported_at + period - now;
}

} // namespace agatebank
