#include <agatebank/core/duration_math.hpp>
#include <agatebank/node/agent_node.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* step_link = "link";
constexpr const char* step_target = "target";
constexpr const char* step_lease = "lease";
constexpr const char* step_process = "process";

constexpr duration timer_period = 50ms;
/// Long-poll time of a lease call while runs are active: a quarter of the
/// default lease.
constexpr duration list_wait = 250ms;
constexpr duration shortest_list_wait = 50ms;
/// Long-poll time while nothing runs under the lease.
constexpr duration idle_list_wait = 400ms;
/// Delay before the next lease call after a failure.
constexpr duration lease_retry_delay = 40ms;
/// The target refuses a start that arrives later than this after sending.
constexpr duration start_validity = 500ms;
/// First increment of a token that the target rejected, doubled each time.
/// Tokens begin at Unix milliseconds, so this skips one day.
constexpr uint64_t first_fencing_token_step = 86'400'000;
/// An entry whose link will be closed is told this long before that the target
/// accepts no more of its work, so that no order is on its way at the end.
constexpr duration closing_notice_time = 500ms;
/// A graceful stop ends by then, before the process is killed with runs active.
constexpr duration max_stop_duration = 5400ms;
/// Shortest graceful stop: leaves time to send the last order results to the
/// entries and to finish open connections.
constexpr duration min_stop_duration = 300ms;

/// Orders with a longer delay are logged.
constexpr duration noted_order_delay = 200ms;

order_source to_source(link_id link)
{
    return order_source(link.value());
}

target_time add(target_time t, duration d)
{
    return target_time(
        t.value() +
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

} // namespace

agent_node::agent_node(node_context context, agent_node_settings settings,
                       target_interface port)
    : context_(std::move(context))
    , settings_(std::move(settings))
    , port_(std::move(port))
    , scheduler_({[this](const run_id& id, const std::string& payload)
                  { start_run(id, payload); },
                  [this](const run_id& id) { stop_run(id); },
                  [this](order_source s, const order_result& r)
                  { queue_order_result(s, r); },
                  [this](const std::vector<lost_run>& lost)
                  { send_crash_reports(lost); },
                  context_.log, port_.copies_of_start},
                 {settings_.returns})
    , hub_({context_.loop, context_.clock, context_.auth, node_link_options(),
            []
            {
                return config_version();
            }},
           {[this](link_id l, message&& m) { on_message(l, std::move(m)); },
            [this](link_id l, const heartbeat&)
            {
                note_heard(l);
                entry_links_.on_received(l);
            },
            [this](link_id l, const failure& f)
            {
                on_closed(l, f);
            }})
    , entry_links_(context_, hub_,
                   {context_.self.name, std::nullopt, agent_link_count, false},
                   {[this](link_id l) { on_opened(l); },
                    [this](link_id l) { on_unneeded(l); },
                    [](const roster_update&) {
                    }})
    , load_reporter_([this](link_id l, const target_update& u)
                     { hub_.send(l, u); })
    , lease_(settings_.lease)
    , fencing_token_(static_cast<uint64_t>(g_get_real_time()) / 1000)
    , fencing_token_step_(first_fencing_token_step)
{
}

// lifecycle

void agent_node::start()
{
    last_timer_ = context_.loop.now();
    add_seeds(settings_.seeds);
    timer_ = context_.loop.every(timer_period, [this] { on_timer(); });
}

void agent_node::add_seeds(const std::vector<endpoint>& seeds)
{
    entry_links_.add_seeds(seeds);
}

void agent_node::begin_stop(std::function<void()> done)
{
    stopping_ = true;
    stop_began_ = context_.loop.now();
    on_stopped_ = std::move(done);
    context_.log(to_line(log_level::info,
                         "graceful stop began with " +
                             std::to_string(scheduler_.running()) +
                             " active runs",
                         step_process));
    update_acceptance();
}

void agent_node::on_timer()
{
    const auto now = context_.loop.now();
    const auto pause = now - std::exchange(last_timer_, now);
    context_.observer.on_loop_lag(std::max(duration(0), pause - timer_period));
    if (pause > node_link_options().silence_timeout)
    {
        context_.log(to_line(log_level::warning,
                             "process was paused for " +
                                 std::to_string(pause.count() / 1000) +
                                 " ms, longer than the links' silence timeout",
                             step_process));
    }
    entry_links_.tick();
    close_unneeded(now);
    recent_crashes_.expire(now);
    scheduler_.tick(now);
    const bool expired = lease_.has_expired(now);
    if (expired && !runs_ended_)
    {
        runs_ended_ = true;
        scheduler_.on_all_runs_ended(false, "the lease expired", now);
    }
    update_acceptance();
    if (stopping_ && on_stopped_)
    {
        const auto age = now - stop_began_;
        if ((scheduler_.running() == 0 && age > min_stop_duration) ||
            age > max_stop_duration)
        {
            context_.timers.schedule(50ms, std::exchange(on_stopped_, nullptr));
        }
    }
}

// announcements

result<void>
agent_node::on_announcement(const target_announcement& announcement)
{
    switch (announcements_.judge(announcement, context_.loop.now()))
    {
    case announcement_verdict::update:
        update_target(announcement);
        break;
    case announcement_verdict::adopt:
        begin_incarnation(announcement);
        break;
    case announcement_verdict::delayed:
        break;
    case announcement_verdict::implausible:
        return fail(
            errc::message_malformed, step_target, announcement.profile.target,
            "incarnation " +
                std::to_string(announcement.profile.incarnation.value()) +
                ", sequence number " + std::to_string(announcement.sequence) +
                "; followed are target " + target_->profile.target +
                ", incarnation " +
                std::to_string(target_->profile.incarnation.value()) +
                ", sequence number " + std::to_string(target_->sequence));
    }
    return {};
}

void agent_node::update_target(const target_announcement& announcement)
{
    const bool changed = target_->draining != announcement.draining;
    set_cold(announcement);
    const auto& capacity = announcement.profile.capacity;
    const auto previous = target_->profile.capacity;
    target_ = announcement;
    if (capacity != previous)
    {
        context_.log(to_line(log_level::info,
                             "target announced a capacity of " +
                                 std::to_string(capacity.cpu_millis) +
                                 " thousandths of a core and " +
                                 std::to_string(capacity.memory_mb) +
                                 " MB, before " +
                                 std::to_string(previous.cpu_millis) + " and " +
                                 std::to_string(previous.memory_mb),
                             step_target, announcement.profile.target));
        scheduler_.set_capacity(capacity, context_.loop.now());
        schedule_flush();
    }
    if (changed)
    {
        context_.log(to_line(log_level::info,
                             announcement.draining
                                 ? "target announced that it is draining"
                                 : "target announced that it is ready",
                             step_target, announcement.profile.target));
        update_acceptance();
    }
}

void agent_node::on_deregistration(const std::string& target)
{
    if (target_ && target_->profile.target == target)
    {
        context_.log(to_line(log_level::info, "target deregistered",
                             step_target, target));
        target_->draining = true;
        update_acceptance();
    }
}

void agent_node::set_cold(const target_announcement& announcement)
{
    const auto now = context_.loop.now();
    const bool before = target_ && target_->cold_remaining.count() != 0;
    if (!before && announcement.cold_remaining.count() != 0)
    {
        context_.log(to_line(log_level::info,
                             "target announced that it is cold for another " +
                                 to_ms_text(announcement.cold_remaining),
                             step_target, announcement.profile.target));
    }
    scheduler_.set_cold_until(now + announcement.cold_remaining);
}

void agent_node::begin_incarnation(const target_announcement& announcement)
{
    const auto now = context_.loop.now();
    context_.log(
        to_line(log_level::info,
                "target announced incarnation " +
                    std::to_string(announcement.profile.incarnation.value()) +
                    ", kind " + announcement.profile.kind + ", capacity " +
                    std::to_string(announcement.profile.capacity.cpu_millis) +
                    " thousandths of a core",
                step_target, announcement.profile.target));
    context_.observer.on_phase(phase_announcement);
    previous_target_drained_ = target_ && target_->draining;
    set_cold(announcement);
    target_ = announcement;
    lease_.reset();
    last_end_seen_ = {};
    scheduler_.set_accepting_orders(false, now);
    scheduler_.set_capacity(announcement.profile.capacity, now);
    first_list_pending_ = true;
    // The higher token makes the target reject delayed calls that were meant
    // for the previous incarnation.
    ++fencing_token_;
    port_.set_target(announcement.profile.target, fencing_token_);
    send_hello_to_all();
    // At once, as the target accepts delayed calls until it has seen the token.
    extend_lease();
}

// lease

void agent_node::schedule_lease(duration delay)
{
    lease_timer_ = context_.loop.after(delay, [this] { extend_lease(); });
}

void agent_node::extend_lease()
{
    const auto now = context_.loop.now();
    lease_request request;
    request.last_end_seen = last_end_seen_;
    const auto clock = lease_.clock(now);
    const bool may_extend = lease_.may_extend(now);
    const auto extension = lease_.extension(oldest_heard(), now);
    if (may_extend && target_connected_)
    {
        const auto next = scheduler_.time_to_next_end(now);
        // A short lease is extended sooner.
        request.wait =
            scheduler_.holds_ends() ? shortest_list_wait
            : next ? std::clamp(extension / 4, shortest_list_wait, list_wait)
                   : idle_list_wait;
        request.expected_end =
            std::min(request.wait, next.value_or(request.wait));
    }
    if (clock && may_extend && extension.count() > 0)
    {
        request.lease_until = add(*clock, extension);
        lease_.on_extension_sent(now);
        runs_ended_ = false;
    }
    lease_timer_.reset();
    const auto call = ++last_lease_call_;
    port_.extend_lease(
        request,
        [this, now, call](tl::expected<lease_answer, lease_failure> answer)
        {
            if (call != last_lease_call_)
            {
                return; // of an earlier incarnation
            }
            if (answer)
            {
                on_lease_answer(*answer, now);
            }
            else
            {
                on_lease_failure(answer.error());
            }
        });
}

void agent_node::on_lease_answer(const lease_answer& answer, time_point sent)
{
    const auto now = context_.loop.now();
    const auto held_back = announcements_.on_answer(answer.incarnation, now);
    if (answer.incarnation != target_->profile.incarnation)
    {
        // The target restarted, and has not yet announced its new incarnation,
        // or the announcement that is followed was not its own.
        scheduler_.set_accepting_orders(false, now);
        target_connected_ = false;
        if (held_back)
        {
            begin_incarnation(*held_back);
        }
        else
        {
            schedule_lease(lease_retry_delay);
        }
        schedule_flush();
        return;
    }
    if (!target_connected_)
    {
        context_.log(to_line(log_level::info, "target answers lease calls",
                             step_lease, target_->profile.target));
    }
    target_connected_ = true;
    context_.observer.on_phase(phase_target);
    lease_.on_answer(answer.clock, now);
    for (const auto& it : answer.ended)
    {
        last_end_seen_ = std::max(last_end_seen_, it.position);
    }
    if (std::exchange(first_list_pending_, false))
    {
        scheduler_.on_new_incarnation(answer, now);
        previous_target_drained_ = false;
    }
    scheduler_.on_listing(answer, sent, now);
    update_acceptance();
    schedule_lease(duration(0));
}

void agent_node::on_lease_failure(const lease_failure& why)
{
    const auto now = context_.loop.now();
    if (target_connected_)
    {
        context_.log(to_record(log_level::warning, why.reason));
    }
    target_connected_ = false;
    switch (why.error)
    {
    case lease_error::fenced:
        raise_fencing_token();
        break;
    case lease_error::unreachable:
        announcements_.on_unreachable();
        lease_.reset();
        scheduler_.set_accepting_orders(false, now);
        scheduler_.on_all_runs_ended(true, "the target accepts no connections",
                                     now);
        break;
    case lease_error::wrong_target:
        if (const auto held_back = announcements_.on_wrong_target(now))
        {
            begin_incarnation(*held_back);
            update_acceptance();
            return;
        }
        break;
    case lease_error::no_answer:
    case lease_error::refused:
        break;
    }
    update_acceptance();
    schedule_lease(lease_retry_delay);
}

void agent_node::raise_fencing_token()
{
    fencing_token_ += fencing_token_step_;
    fencing_token_step_ *= 2;
    context_.log(to_line(log_level::warning,
                         "target rejected the fencing token, raised to " +
                             std::to_string(fencing_token_),
                         step_lease, target_->profile.target));
    port_.set_target(target_->profile.target, fencing_token_);
}

void agent_node::update_acceptance()
{
    const auto now = context_.loop.now();
    scheduler_.set_accepting_orders(is_accepting_work(now), now);
    schedule_flush();
}

// runs

void agent_node::start_run(const run_id& id, const std::string& payload)
{
    const auto now = context_.loop.now();
    const auto clock = lease_.clock(now);
    const auto incarnation = target_->profile.incarnation;
    // The target extends its lease with the time until which a start is valid.
    const auto validity =
        std::min(start_validity, lease_.extension(oldest_heard(), now));
    lease_.on_start_sent(validity, now);
    port_.start({id, payload, add(clock.value_or(target_time()), validity)},
                [this, id, incarnation](start_answer a)
                {
                    if (incarnation == target_->profile.incarnation)
                    {
                        if (a == start_answer::accepted)
                        {
                            context_.observer.on_phase(phase_run);
                        }
                        scheduler_.on_start_answer(id, a, context_.loop.now());
                        schedule_flush();
                    }
                });
}

void agent_node::stop_run(const run_id& id)
{
    const auto incarnation = target_->profile.incarnation;
    port_.stop(id,
               [this, id, incarnation](bool taken)
               {
                   if (incarnation == target_->profile.incarnation)
                   {
                       scheduler_.on_stop_answer(id, taken,
                                                 context_.loop.now());
                   }
               });
}

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
        scheduler_.on_batch(to_source(link), *batch, now);
        schedule_flush();
    }
    else if (const auto* cancel = std::get_if<cancel_orders>(&m))
    {
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
    const auto it = entries_.find(link);
    if (it != entries_.end())
    {
        closed_links_[to_source(link)] = it->second.last_heard;
        entries_.erase(it);
    }
    load_reporter_.remove_link(link);
    entry_links_.on_closed(link);
    scheduler_.on_source_lost(to_source(link), context_.loop.now());
    schedule_flush();
}

void agent_node::note_heard(link_id link)
{
    const auto it = entries_.find(link);
    if (it != entries_.end())
    {
        it->second.last_heard = hub_.find(link)->last_heard();
    }
}

std::optional<time_point> agent_node::oldest_heard()
{
    std::erase_if(closed_links_, [this](const auto& it)
                  { return !scheduler_.has_orders(it.first); });
    // The caller of a run that is being stopped may have left.
    auto out = scheduler_.oldest_stop();
    const auto consider = [&out](time_point t)
    {
        out = std::min(t, out.value_or(t));
    };
    for (const auto& [link, entry] : entries_)
    {
        if (scheduler_.has_orders(to_source(link)))
        {
            consider(entry.last_heard);
        }
    }
    for (const auto& [source, heard] : closed_links_)
    {
        consider(heard);
    }
    return out;
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
             {agent_incarnation(context_.self.incarnation),
              loss_number(scheduler_.counts().target_losses)},
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

// lookup

bool agent_node::ready() const
{
    return target_ && target_connected_ && !entries_.empty();
}

const run_scheduler& agent_node::scheduler() const noexcept
{
    return scheduler_;
}

const link_hub& agent_node::links() const noexcept
{
    return hub_;
}

const entry_links& agent_node::entries() const noexcept
{
    return entry_links_;
}

} // namespace agatebank
