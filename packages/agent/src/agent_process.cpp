#include <agatebank/agent/agent_process.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_start = "agent.start";
constexpr const char* step_announce = "target.announce";
constexpr std::size_t report_batch_bytes = 1U << 20U;
// Above the 512 slots that a target may announce: each run has a connection.
constexpr int max_target_connections = 600;
constexpr duration target_read_timeout = std::chrono::seconds(5);
constexpr std::size_t max_announcement_bytes = 64U << 10U;

constexpr start_refusal target_withdrawn{errc::start_refused,
                                         "agent.target_withdrawn"};

http_server_options server_options(const agent_settings& settings)
{
    http_server_options out;
    out.address = settings.http.address;
    out.port = settings.http.port;
    out.max_body_bytes = max_announcement_bytes;
    out.read_timeout = target_read_timeout;
    return out;
}

const char* to_text(const run_result& r)
{
    switch (r.kind)
    {
    case report_kind::answered:
        return "answered";
    case report_kind::failed:
        return "failed";
    case report_kind::timed_out:
        return "timed out";
    case report_kind::not_run:
        return "not run";
    }
    return "";
}

} // namespace

agent_process::agent_process(event_loop& loop, hybrid_clock& clock,
                             const authenticator& auth, event_ring& events,
                             log_sink log, agent_settings settings,
                             random_source random)
    : loop_(loop)
    , auth_(auth)
    , events_(events)
    , log_(std::move(log))
    , settings_(std::move(settings))
    , self_(random())
    , timers_(loop)
    , http_(loop, server_options(settings_))
    , client_(loop, {}, max_target_connections)
    , availability_(settings_.target)
    , scheduler_(self_, settings_.limits)
    , credits_(0, 0, self_.value())
    , runner_(loop, client_, settings_.limits.max_answer_bytes,
              [this](const start_key& key, run_result r)
              { on_run_ended(key, std::move(r)); })
    , hub_({loop, clock, auth, settings_.limits.links,
            [this]
            {
                return availability_.version();
            }},
           {[this](link_id id, message&& m) { on_message(id, std::move(m)); },
            {},
            [this](link_id id, const failure& why)
            {
                on_closed(id, why);
            }})
    , dialer_(timers_, settings_.entries, std::move(random), log_,
              [this](std::size_t index, object_ptr<GSocketConnection> c)
              { on_connected(index, std::move(c)); })
    , sessions_(settings_.entries.size())
{
    add_routes();
}

// lifecycle

result<void> agent_process::start()
{
    for (const auto& it : settings_.entries)
    {
        if (!auth_.enabled() && !is_loopback(it.address))
        {
            return fail(errc::key_required, step_start, it.to_string());
        }
    }
    const auto port = http_.listen();
    if (!port)
    {
        return tl::unexpected(port.error());
    }
    http_port_ = *port;
    record(event_kind::process_started, {});
    for (std::size_t index = 0; index < sessions_.size(); ++index)
    {
        dialer_.dial(index);
    }
    return {};
}

void agent_process::begin_stop(std::function<void()> done)
{
    if (stopping_)
    {
        return;
    }
    stopping_ = true;
    on_stopped_ = std::move(done);
    record(event_kind::process_leaving, {});
    availability_.set_leaving();
    on_target_changed();
}

// links

void agent_process::on_connected(std::size_t index,
                                 object_ptr<GSocketConnection> c)
{
    auto& s = sessions_[index];
    s.link = hub_.add(std::move(c));
    s.hello_received = false;
    agent_hello hello;
    hello.self.incarnation = self_.value();
    hello.self.name = settings_.name;
    hello.self.failure_domain = settings_.failure_domain;
    hello.target = availability_.report();
    hello.clock_us = loop_.now().time_since_epoch().count();
    hub_.send(s.link, hello);
}

void agent_process::on_closed(link_id link, const failure& why)
{
    const auto index = session_of(link);
    if (!index)
    {
        return;
    }
    auto& s = sessions_[*index];
    s.link = link_id();
    if (std::exchange(s.hello_received, false))
    {
        log_(to_record(log_level::info, why));
        credits_.remove_entry(*s.entry);
        s.loss_timer =
            timers_.schedule(settings_.limits.entry_timeout,
                             [this, i = *index] { mark_entry_lost(i); });
        update_credits();
    }
    dialer_.schedule_dial(*index);
    resume_duplicates();
}

void agent_process::on_message(link_id link, message&& m)
{
    const auto index = session_of(link);
    if (!index)
    {
        return;
    }
    if (const auto* hello = std::get_if<entry_hello>(&m))
    {
        on_entry_hello(*index, *hello);
        return;
    }
    if (sessions_[*index].hello_received)
    {
        on_entry_message(*index, std::move(m));
    }
}

void agent_process::on_entry_hello(std::size_t index, const entry_hello& m)
{
    auto& s = sessions_[index];
    const entry_incarnation entry(m.self.incarnation);
    if (s.entry && *s.entry != entry)
    {
        mark_entry_lost(index);
    }
    timers_.cancel(std::exchange(s.loss_timer, timer_id()));
    pause_duplicates(index, entry);
    s.entry = entry;
    s.name = m.self.name;
    s.hello_received = true;
    // The target may have changed since agent_hello was sent: until its hello
    // arrives, an entry is sent no changes.
    hub_.send(s.link, availability_.report());
    dialer_.reset_backoff(index);
    record(event_kind::entry_connected, s.name);
    scheduler_.on_entry_connected(entry);
    scheduler_.resend_all(entry);
    credits_.add_entry(entry);
    credits_.set_running(entry,
                         static_cast<uint32_t>(scheduler_.unfinished(entry)));
    update_credits();
    schedule_flush();
}

// If the settings list one entry at two addresses, only the newest connection
// to it is kept. The other address is dialed again when a connection closes.
void agent_process::pause_duplicates(std::size_t index, entry_incarnation entry)
{
    for (std::size_t i = 0; i < sessions_.size(); ++i)
    {
        auto& other = sessions_[i];
        if (i == index || other.entry != entry)
        {
            continue;
        }
        hub_.close(std::exchange(other.link, link_id()));
        timers_.cancel(std::exchange(other.loss_timer, timer_id()));
        dialer_.cancel(i);
        credits_.remove_entry(entry);
        other.entry.reset();
        other.hello_received = false;
        other.paused = true;
    }
}

void agent_process::resume_duplicates()
{
    for (std::size_t i = 0; i < sessions_.size(); ++i)
    {
        if (std::exchange(sessions_[i].paused, false))
        {
            dialer_.schedule_dial(i);
        }
    }
}

// Called when another incarnation answers at the entry's address, or when the
// entry has had no connection for agent_limits::entry_timeout.
void agent_process::mark_entry_lost(std::size_t index)
{
    auto& s = sessions_[index];
    if (!s.entry)
    {
        return;
    }
    const auto entry = *s.entry;
    timers_.cancel(std::exchange(s.loss_timer, timer_id()));
    s.entry.reset();
    record(event_kind::entry_lost, s.name);
    scheduler_.on_entry_lost(entry, loop_.now().time_since_epoch().count());
    schedule_expiry();
    update_credits();
}

std::optional<std::size_t> agent_process::session_of(link_id link) const
{
    const auto it = std::find_if(sessions_.begin(), sessions_.end(),
                                 [&](const auto& s) { return s.link == link; });
    if (it == sessions_.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - sessions_.begin());
}

std::optional<std::size_t>
agent_process::session_of(entry_incarnation entry) const
{
    const auto it = std::find_if(
        sessions_.begin(), sessions_.end(),
        [&](const auto& s) { return s.hello_received && s.entry == entry; });
    if (it == sessions_.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - sessions_.begin());
}

// messages from entries

void agent_process::on_entry_message(std::size_t index, message&& m)
{
    const auto entry = *sessions_[index].entry;
    if (auto* orders = std::get_if<start_orders>(&m))
    {
        on_orders(index, std::move(*orders));
    }
    else if (const auto* ack = std::get_if<acknowledgement>(&m))
    {
        scheduler_.on_acknowledgement(entry, *ack);
        try_complete_stop();
    }
    else if (const auto* cancels = std::get_if<cancel_starts>(&m))
    {
        scheduler_.on_cancel(entry, *cancels);
        schedule_flush();
    }
    else if (const auto* demand = std::get_if<demand_update>(&m))
    {
        on_demand(entry, *demand);
    }
    else if (const auto* c = std::get_if<agent_configuration>(&m))
    {
        on_configuration(index, *c);
    }
    else if (const auto* gather = std::get_if<gather_query>(&m))
    {
        on_gather(index, *gather);
    }
    else if (const auto* query = std::get_if<event_query>(&m))
    {
        hub_.send(
            sessions_[index].link,
            event_reply{query->request_id, events_.select(query->filter)});
    }
}

void agent_process::on_orders(std::size_t index, start_orders&& m)
{
    const auto& s = sessions_[index];
    const auto now_us = loop_.now().time_since_epoch().count();
    const admission_check check = [this](const start_order& order)
    {
        return availability_.refusal(order);
    };
    for (auto& order : m.orders)
    {
        const auto submission = order.submission;
        const auto task = order.task;
        const auto verdict =
            scheduler_.on_order(*s.entry, std::move(order), now_us, check);
        count(verdict);
        if (verdict == start_verdict::accepted)
        {
            record_start(event_kind::start_accepted, submission, task, s.name);
        }
        else if (verdict != start_verdict::known)
        {
            record_start(event_kind::start_refused, submission, task, s.name,
                         to_word(verdict));
        }
    }
    begin_runs();
    schedule_flush();
}

void agent_process::on_demand(entry_incarnation entry, const demand_update& m)
{
    credits_.set_demand(entry,
                        {m.queued, m.in_flight, duration(m.min_slack_us)});
    credits_.confirm(entry, m.grant_version, m.in_flight);
    update_credits();
    try_complete_stop();
}

void agent_process::on_configuration(std::size_t index,
                                     const agent_configuration& m)
{
    if (!availability_.configure(m))
    {
        return;
    }
    record(event_kind::configuration_in_force, sessions_[index].name,
           std::to_string(m.version.value()));
    on_target_changed();
}

void agent_process::on_gather(std::size_t index, const gather_query& m)
{
    const auto now_us = loop_.now().time_since_epoch().count();
    auto held = scheduler_.gather(m.submission, now_us);
    if (!held)
    {
        return;
    }
    event e;
    e.kind = event_kind::gather_began;
    e.submission = to_name(m.submission);
    e.target = settings_.target.value();
    e.peer = sessions_[index].name;
    events_.record(std::move(e));
    schedule_expiry();
    schedule_flush();
    hub_.send(
        sessions_[index].link,
        gather_reply{m.request_id, std::move(held->reported), held->running});
}

// target

void agent_process::add_routes()
{
    http_.route("POST", "/v1/announcement",
                [this](const http_request& rq, const http_responder& respond)
                { on_announcement(rq, respond); });
    http_.route("DELETE", "/v1/announcement",
                [this](const http_request& rq, const http_responder& respond)
                { on_withdrawal(rq, respond); });
}

// Announcements are not authenticated, so they are accepted only from this
// machine.
bool agent_process::is_local(const std::string& peer) const
{
    return is_loopback(peer) || peer == settings_.http.address;
}

void agent_process::on_announcement(const http_request& rq,
                                    const http_responder& respond)
{
    if (!is_local(rq.peer))
    {
        respond(problem_response(
            403, {make_error_code(errc::forbidden), step_announce, rq.peer, {}},
            execution_status::not_run));
        return;
    }
    auto a = parse_announcement(rq.body, rq.peer);
    if (!a)
    {
        respond(problem_response(400, a.error(), execution_status::not_run));
        return;
    }
    last_announcement_ = loop_.now();
    const bool first_announcement = !availability_.announced();
    if (availability_.announce(std::move(*a)))
    {
        record(event_kind::target_announced, rq.peer);
        on_target_changed();
    }
    if (first_announcement)
    {
        check_announcement_timeout();
    }
    respond(http_response{204, {}, {}, {}});
}

void agent_process::on_withdrawal(const http_request& rq,
                                  const http_responder& respond)
{
    if (is_local(rq.peer) && availability_.withdraw())
    {
        record(event_kind::target_withdrawn, rq.peer, "goodbye");
        on_target_changed();
    }
    respond(http_response{204, {}, {}, {}});
}

void agent_process::check_announcement_timeout()
{
    const auto elapsed = loop_.now() - last_announcement_;
    const auto remaining = settings_.limits.announcement_timeout - elapsed;
    timers_.cancel(announcement_timer_);
    if (remaining > duration::zero())
    {
        announcement_timer_ = timers_.schedule(
            remaining, [this] { check_announcement_timeout(); });
        return;
    }
    if (availability_.withdraw())
    {
        record(event_kind::target_withdrawn, {}, "silent");
        on_target_changed();
    }
}

// Applies the target's new state to slots, queue and credits, sends it to the
// entries, and refuses the queued starts if the target accepts no more work.
void agent_process::on_target_changed()
{
    const auto report = availability_.report();
    const auto slots = report.accepts_work ? report.slots : 0;
    const auto allowance =
        report.accepts_work ? availability_.queue_allowance() : 0;
    scheduler_.set_capacity(slots, allowance);
    credits_.set_slots(slots);
    credits_.set_queue_allowance(allowance);
    if (!report.accepts_work)
    {
        const auto* why = availability_.refusal();
        scheduler_.refuse_all_queued(why == nullptr ? target_withdrawn : *why);
    }
    target_changed_ = true;
    update_credits();
    begin_runs();
    schedule_flush();
}

void agent_process::begin_runs()
{
    const auto now = loop_.now();
    for (auto& it : scheduler_.take_runnable(now.time_since_epoch().count()))
    {
        const duration timeout =
            it.deadline_us == 0
                ? settings_.limits.max_run_time
                : std::min(settings_.limits.max_run_time,
                           time_point(duration(it.deadline_us)) - now);
        record_start(event_kind::run_began, it.submission, it.task, {});
        runner_.run(it, availability_.url(), timeout);
        it.payload = {};
        running_starts_.emplace(it.key, std::move(it));
    }
}

void agent_process::on_run_ended(const start_key& key, run_result r)
{
    const auto it = running_starts_.find(key);
    record_start(event_kind::run_ended, it->second.submission, it->second.task,
                 {}, to_text(r));
    running_starts_.erase(it);
    counters_.answered += r.kind == report_kind::answered ? 1 : 0;
    counters_.failed += r.kind == report_kind::failed ? 1 : 0;
    counters_.timed_out += r.kind == report_kind::timed_out ? 1 : 0;
    counters_.unreachable += r.kind == report_kind::not_run ? 1 : 0;
    scheduler_.on_run_ended(key, std::move(r));
    begin_runs();
    if (const auto index = session_of(key.entry))
    {
        credits_.set_running(
            key.entry, static_cast<uint32_t>(scheduler_.unfinished(key.entry)));
    }
    update_credits();
    schedule_flush();
}

// reports and credits

void agent_process::schedule_flush()
{
    if (!std::exchange(flush_pending_, true))
    {
        loop_.defer([this] { flush(); });
    }
}

void agent_process::flush()
{
    flush_pending_ = false;
    const bool changed = std::exchange(target_changed_, false);
    for (const auto& s : sessions_)
    {
        if (!s.hello_received)
        {
            continue;
        }
        if (changed)
        {
            hub_.send(s.link, availability_.report());
        }
        send_reports(s);
    }
    try_complete_stop();
}

void agent_process::send_reports(const entry_session& s)
{
    while (scheduler_.has_reports(*s.entry))
    {
        start_reports m{scheduler_.take_reports(*s.entry, report_batch_bytes)};
        if (m.reports.empty())
        {
            return;
        }
        counters_.reports_sent += m.reports.size();
        hub_.send(s.link, m);
    }
}

void agent_process::update_credits()
{
    std::size_t of_connected = 0;
    for (const auto& s : sessions_)
    {
        of_connected += s.hello_received ? scheduler_.unfinished(*s.entry) : 0;
    }
    const auto unfinished = scheduler_.running() + scheduler_.queued();
    credits_.set_orphaned_tasks(
        static_cast<uint32_t>(unfinished - of_connected));
    for (const auto& grant : credits_.rebalance(loop_.now()))
    {
        if (const auto index = session_of(grant.entry))
        {
            hub_.send(sessions_[*index].link, grant);
        }
    }
}

void agent_process::schedule_expiry()
{
    const auto now_us = loop_.now().time_since_epoch().count();
    const auto next_us = scheduler_.expire(now_us);
    timers_.cancel(expiry_timer_);
    if (next_us != 0)
    {
        expiry_timer_ = timers_.schedule(duration(next_us - now_us),
                                         [this] { schedule_expiry(); });
    }
}

// Completes a pending stop once no run is left and all reports are
// acknowledged. Called after each event that may fulfil this.
void agent_process::try_complete_stop()
{
    if (!on_stopped_ || scheduler_.running() != 0)
    {
        return;
    }
    // An entry that has not confirmed its withdrawn credits may still have
    // orders on the way to this agent.
    if (scheduler_.unacknowledged() == 0 && credits_.committed() == 0)
    {
        complete_stop();
        return;
    }
    if (stop_timer_ == timer_id())
    {
        stop_timer_ = timers_.schedule(settings_.limits.stop_timeout,
                                       [this] { complete_stop(); });
    }
}

void agent_process::complete_stop()
{
    timers_.cancel(stop_timer_);
    dialer_.stop();
    http_.stop_accepting();
    if (const auto done = std::exchange(on_stopped_, nullptr))
    {
        done();
    }
}

// events and counters

void agent_process::record(event_kind kind, const std::string& peer,
                           const std::string& detail)
{
    event e;
    e.kind = kind;
    e.target = settings_.target.value();
    e.peer = peer;
    e.detail = detail;
    events_.record(std::move(e));
}

void agent_process::record_start(event_kind kind,
                                 const submission_id& submission,
                                 task_index task, const std::string& peer,
                                 const std::string& detail)
{
    event e;
    e.kind = kind;
    e.submission = to_name(submission);
    e.task = static_cast<int32_t>(task.value());
    e.target = settings_.target.value();
    e.peer = peer;
    e.detail = detail;
    events_.record(std::move(e));
}

void agent_process::count(start_verdict verdict)
{
    ++counters_.orders;
    counters_.accepted += verdict == start_verdict::accepted ? 1 : 0;
    counters_.refused += verdict == start_verdict::refused ? 1 : 0;
    counters_.repeated += verdict == start_verdict::known ? 1 : 0;
    counters_.stale += verdict == start_verdict::stale ? 1 : 0;
}

// lookup

http_server& agent_process::http() noexcept
{
    return http_;
}

uint16_t agent_process::http_port() const noexcept
{
    return http_port_;
}

agent_incarnation agent_process::incarnation() const noexcept
{
    return self_;
}

bool agent_process::ready() const
{
    const bool connected =
        std::any_of(sessions_.begin(), sessions_.end(),
                    [](const auto& s) { return s.hello_received; });
    return connected && availability_.report().accepts_work;
}

agent_statistics agent_process::statistics() const
{
    auto out = counters_;
    out.running = scheduler_.running();
    out.queued = scheduler_.queued();
    out.tracked = scheduler_.tracked();
    out.unacknowledged = scheduler_.unacknowledged();
    out.entries_connected = static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(),
                      [](const auto& s) { return s.hello_received; }));
    out.slots = scheduler_.slots();
    out.accepts_work = availability_.report().accepts_work;
    out.version = availability_.version();
    out.traffic = hub_.total_traffic();
    return out;
}

} // namespace agatebank
