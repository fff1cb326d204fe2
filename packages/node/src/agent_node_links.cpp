#include <agatebank/core/duration_math.hpp>
#include <agatebank/node/agent_node.hpp>

#include <algorithm>
#include <utility>
#include <variant>

/// @file
/// The parts of agent_node that talk to entries: links, orders and reports.

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* step_link = "link";
constexpr const char* step_target = "target";

/// An entry whose link will be closed is told this long before that the target
/// accepts no more of its work, so that no order is on its way at the end.
constexpr duration closing_notice_time = 500ms;
/// Orders with a longer delay are logged.
constexpr duration noted_order_delay = 200ms;

order_source to_source(link_id link)
{
    return order_source(link.value());
}

} // namespace

// links

void agent_node::on_opened(link_id link)
{
    entries_[link] = {};
    note_heard(link);
    load_reporter_.add_link(link);
    hub_.set_class(link, link_class::entry);
    context_.observer.on_phase(phase_link);
    context_.log(to_line(log_level::info, "connected to an entry", step_link,
                         hub_.find(link)->peer()));
    // First the crashes: the entry may place a task anew once it knows the
    // target.
    if (auto reports = recent_crashes_.reports(); !reports.empty())
    {
        context_.log(to_line(log_level::info,
                             "telling the entry of " +
                                 std::to_string(reports.size()) +
                                 " runs that were lost with targets before",
                             step_link, hub_.find(link)->peer()));
        hub_.send(link, crash_reports{std::move(reports)});
    }
    if (target_)
    {
        send_hello(link);
    }
}

void agent_node::on_unneeded(link_id link)
{
    entries_.at(link).closing_since = context_.loop.now();
    schedule_flush();
}

void agent_node::close_unneeded(time_point now)
{
    std::vector<link_id> idle;
    for (const auto& [link, entry] : entries_)
    {
        if (entry.closing_since &&
            now - *entry.closing_since >= closing_notice_time &&
            entry.pending_results.empty() &&
            !scheduler_.has_orders(to_source(link)))
        {
            idle.push_back(link);
        }
    }
    for (const auto link : idle)
    {
        context_.log(to_line(log_level::info,
                             "closing the link to an entry that is no longer "
                             "selected",
                             step_link, hub_.find(link)->peer()));
        entries_.erase(link);
        heard_.on_closed(to_source(link));
        load_reporter_.remove_link(link);
        entry_links_.close(link);
    }
}

void agent_node::on_message(link_id link, message&& m)
{
    const auto found = entries_.find(link);
    if (found == entries_.end())
    {
        return;
    }
    note_heard(link);
    entry_links_.on_received(link);
    const auto now = context_.loop.now();
    if (const auto* batch = std::get_if<run_batch>(&m))
    {
        context_.observer.on_phase(phase_order);
        note_delay(link, *batch);
        load_reporter_.on_orders(link, *batch);
        if (target_ && batch->target == target_->profile.incarnation)
        {
            scheduler_.on_batch(to_source(link), *batch, now);
        }
        else
        {
            return_batch(link, *batch);
        }
        schedule_flush();
    }
    else if (const auto* cancel = std::get_if<cancel_orders>(&m))
    {
        heard_.on_cancel(to_source(link), now);
        scheduler_.on_cancel(to_source(link), cancel->orders, now);
        schedule_flush();
    }
    else if (const auto* update = std::get_if<roster_update>(&m))
    {
        entry_links_.merge(*update);
    }
    else if (const auto* evacuation = std::get_if<evacuation_update>(&m))
    {
        on_evacuation_update(link, *evacuation);
    }
    else if (const auto* request = std::get_if<report_request>(&m))
    {
        on_report_request(link, *request);
    }
    start_waiting();
}

void agent_node::return_batch(link_id link, const run_batch& batch)
{
    auto record = to_line(
        log_level::info,
        std::to_string(batch.orders.size()) +
            " orders were placed for incarnation " +
            std::to_string(batch.target.value()) + " of the target, followed " +
            (target_
                 ? "is " + std::to_string(target_->profile.incarnation.value())
                 : "is none"),
        step_link, hub_.find(link)->peer());
    record.submission = batch.job;
    context_.log(record);
    scheduler_.return_batch(to_source(link), batch);
}

void agent_node::note_delay(link_id link, const run_batch& batch) const
{
    const auto delay = hub_.find(link)->delay();
    if (delay < noted_order_delay)
    {
        return;
    }
    auto record = to_line(log_level::info,
                          std::to_string(batch.orders.size()) +
                              " orders were under way for " + to_ms_text(delay),
                          step_link, hub_.find(link)->peer());
    record.submission = batch.job;
    context_.log(record);
}

void agent_node::on_report_request(link_id link, const report_request& request)
{
    const duration requested(request.min_period_us);
    const auto period = load_reporter_.set_period(link, requested);
    if (period != requested)
    {
        context_.log(to_line(log_level::warning,
                             "entry requested a load report period of " +
                                 std::to_string(request.min_period_us) +
                                 " us, limited to " + to_ms_text(period),
                             step_link, hub_.find(link)->peer()));
    }
}

void agent_node::on_evacuation_update(link_id link,
                                      const evacuation_update& update)
{
    const bool before = is_evacuated();
    if (!evacuation_.merge(to_evacuation_state(update)))
    {
        return;
    }
    const bool after = is_evacuated();
    if (before == after)
    {
        return;
    }
    context_.log(to_line(
        log_level::info,
        std::string(after
                        ? "failure domain of the target is evacuated"
                        : "failure domain of the target is in service again") +
            ", evacuated at " + evacuation_.to_text() + "; " +
            std::to_string(scheduler_.queued()) + " queued orders, " +
            std::to_string(scheduler_.running()) + " active runs",
        step_target, hub_.find(link)->peer()));
    if (after)
    {
        // Runs that become active continue; a start that is repeated must not
        // begin one.
        scheduler_.withdraw_starts(context_.loop.now());
    }
    update_acceptance();
}

void agent_node::on_closed(link_id link, const failure& why)
{
    context_.log(to_record(log_level::warning, why));
    entries_.erase(link);
    heard_.on_closed(to_source(link));
    load_reporter_.remove_link(link);
    entry_links_.on_closed(link);
    scheduler_.on_source_lost(to_source(link), context_.loop.now());
    schedule_flush();
}

void agent_node::note_heard(link_id link)
{
    if (entries_.count(link) != 0)
    {
        heard_.on_heard(to_source(link), hub_.find(link)->last_heard());
    }
}

bool agent_node::may_start(order_source from)
{
    const auto heard = heard_.newest(from);
    const bool out = heard && lease_.allows_start(*heard);
    starts_wait_ = starts_wait_ || !out;
    return out;
}

void agent_node::start_waiting()
{
    if (std::exchange(starts_wait_, false))
    {
        scheduler_.tick(context_.loop.now());
        schedule_flush();
    }
}

target_load agent_node::current_load() const
{
    const auto now = context_.loop.now();
    auto load = scheduler_.load(now);
    load.accepts_work = is_accepting_work(now);
    return load;
}

bool agent_node::is_accepting_work(time_point now) const
{
    return target_ && !target_->draining && !stopping_ && !is_evacuated() &&
           lease_.is_connected(now);
}

bool agent_node::is_evacuated() const
{
    if (!target_)
    {
        return false;
    }
    const auto& announced = target_->profile.failure_domain;
    return evacuation_.is_evacuated(
        announced.value().empty() ? context_.self.failure_domain : announced);
}

const evacuation_state& agent_node::evacuation() const noexcept
{
    return evacuation_;
}

void agent_node::send_hello(link_id link)
{
    context_.observer.on_phase(phase_greeting);
    hub_.send(link, target_hello{context_.self, target_->profile,
                                 load_reporter_.greet(link, current_load())});
}

void agent_node::send_hello_to_all()
{
    for (const auto& [link, e] : entries_)
    {
        send_hello(link);
    }
}

void agent_node::queue_order_result(order_source to, const order_result& result)
{
    const auto it = entries_.find(link_id(to.value()));
    if (it != entries_.end())
    {
        it->second.pending_results.push_back(result);
        schedule_flush();
    }
}

void agent_node::send_crash_reports(const std::vector<lost_run>& lost)
{
    crash_reports m;
    for (const auto& it : lost)
    {
        m.reports.push_back(
            {it.task,
             it.route,
             target_->profile.service,
             {agent_incarnation(context_.self.incarnation), it.loss},
             it.isolated,
             it.confirmed && !target_->draining && !previous_target_drained_,
             it.started_last});
    }
    recent_crashes_.merge(m.reports, context_.loop.now());
    for (const auto& [link, entry] : entries_)
    {
        hub_.send(link, m);
    }
}

// Order results are sent at once, the load when load_reporter says so.
void agent_node::schedule_flush()
{
    if (!flush_pending_)
    {
        flush_pending_ = true;
        context_.loop.defer(
            [this]
            {
                flush_pending_ = false;
                flush();
            });
    }
}

void agent_node::flush()
{
    if (!target_)
    {
        return;
    }
    const auto now = context_.loop.now();
    const auto current = current_load();
    std::optional<duration> next_report;
    for (auto& [link, entry] : entries_)
    {
        auto load = current;
        load.accepts_work = load.accepts_work && !entry.closing_since;
        const bool with_results = !entry.pending_results.empty();
        if (with_results)
        {
            hub_.send(link,
                      order_results{std::exchange(entry.pending_results, {})});
        }
        if (const auto wait =
                load_reporter_.report(link, load, with_results, now))
        {
            next_report = std::min(*wait, next_report.value_or(*wait));
        }
    }
    if (next_report && (!load_timer_ || now + *next_report < load_timer_end_))
    {
        load_timer_end_ = now + *next_report;
        load_timer_ = context_.loop.after(*next_report,
                                          [this]
                                          {
                                              load_timer_.reset();
                                              schedule_flush();
                                          });
    }
}

} // namespace agatebank
