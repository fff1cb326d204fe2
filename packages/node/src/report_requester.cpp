#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/report_period.hpp>
#include <agatebank/node/node_context.hpp>
#include <agatebank/node/report_requester.hpp>

#include <cmath>
#include <string>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_reports = "reports";

} // namespace

report_requester::report_requester(double processor_share,
                                   report_requester_hooks hooks)
    : processor_share_(processor_share)
    , hooks_(std::move(hooks))
    , period_(min_report_period)
{
}

// modifiers

void report_requester::add_link(link_id link)
{
    if (links_.insert(link).second && !update())
    {
        hooks_.send(link, report_request{period_.count()});
    }
}

void report_requester::remove_link(link_id link)
{
    if (links_.erase(link) != 0)
    {
        update();
    }
}

bool report_requester::update()
{
    const auto period = to_report_period(processor_share_, links_.size());
    if (!is_new_report_period(period_, period))
    {
        return false;
    }
    hooks_.log(to_line(
        log_level::info,
        "load reports requested every " + to_ms_text(period) + ", before " +
            to_ms_text(period_) + ": " + std::to_string(links_.size()) +
            " agents, processor share " +
            std::to_string(std::lround(processor_share_ * 1000)) +
            " thousandths of a core",
        step_reports));
    period_ = period;
    for (const auto link : links_)
    {
        hooks_.send(link, report_request{period_.count()});
    }
    return true;
}

void report_requester::count_greeting() noexcept
{
    ++counts_.greetings;
}

void report_requester::count_update(const target_load& previous,
                                    const target_load& load)
{
    ++(is_class_change(previous, load) ? counts_.class_changes
                                       : counts_.other_changes);
}

// lookup

duration report_requester::period() const noexcept
{
    return period_;
}

const load_report_counts& report_requester::counts() const noexcept
{
    return counts_;
}

} // namespace agatebank
