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

/// Shortest interval between two load reports to an entry after a large change.
constexpr duration large_change_report_period = 25ms;
/// The same after a small change.
constexpr duration small_change_report_period = 100ms;
/// A change of used plus queued CPU is large above this share of capacity.
constexpr double large_change_share = 0.2;

int64_t queued_cpu(const target_load& l)
{
    return std::accumulate(l.queued_cpu_millis.begin(),
                           l.queued_cpu_millis.end(), int64_t{0});
}

// Whether a load differs enough to be reported after the shorter period.
bool is_large_change(const target_load& load, const target_load& reported)
{
    const auto change =
        std::abs(load.used.cpu_millis - reported.used.cpu_millis) +
        std::abs(queued_cpu(load) - queued_cpu(reported));
    return load.accepts_work != reported.accepts_work ||
           load.capacity != reported.capacity ||
           load.suspect != reported.suspect || load.cold != reported.cold ||
           static_cast<double>(change) >
               large_change_share *
                   static_cast<double>(load.capacity.cpu_millis);
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

std::optional<duration> load_reporter::report(link_id link, target_load load,
                                              time_point now)
{
    auto& state = links_.at(link);
    load.last_order_received = state.last_order_received;
    if (load == state.reported)
    {
        return std::nullopt;
    }
    const bool urgent = load.accepts_work != state.reported.accepts_work;
    if (!urgent &&
        now - state.reported_at < (is_large_change(load, state.reported)
                                       ? large_change_report_period
                                       : small_change_report_period))
    {
        return large_change_report_period;
    }
    send_(link, target_update{load});
    state.reported = load;
    state.reported_at = now;
    return std::nullopt;
}

} // namespace agatebank
