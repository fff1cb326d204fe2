#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/arrival_hold.hpp>
#include <agatebank/node/entry_node.hpp>
#include <agatebank/node/request_age.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* step_link = "link";
constexpr const char* step_process = "process";

/// Period of the checks for passed deadlines, tasks of lost agents and a pause
/// of this process.
constexpr duration timer_period = 40ms;
/// Agents stop an entry's runs after the silence timeout. After a longer pause,
/// this entry must assume that its runs have been stopped.
const duration max_pause = node_link_options().silence_timeout;
/// Shortest graceful stop. The load balancer checks readiness once a second and
/// routes callers elsewhere after two failed checks; jobs that arrive until
/// then are still accepted.
constexpr duration min_stop_duration = 2500ms;
/// A graceful stop ends by then, before the process is killed with unanswered
/// requests.
constexpr duration max_stop_duration = 5400ms;
/// Time until an agent that lost its link has stopped this entry's runs, also
/// if it is paused: its target's lease has expired by then, see target_lease.
constexpr duration lost_agent_grace = 1300ms;

/// Time from a target's announcement to its agent until the entry knows it:
/// two lease calls, and a dial that is repeated.
constexpr duration discovery_margin = 500ms;

duration discovery_window(duration announcement_period)
{
    return announcement_period.count() == 0
               ? duration(0)
               : announcement_period + discovery_margin;
}

relay_peer_id to_peer(link_id link)
{
    return relay_peer_id(link.value());
}

link_id to_link(relay_peer_id peer)
{
    return link_id(peer.value());
}

// Where other processes reach an entry's links.
entry_address advertised_links(const entry_node_settings& settings)
{
    return {settings.advertised_address.empty() ? settings.links.address
                                                : settings.advertised_address,
            settings.links.port};
}

} // namespace

entry_node::entry_node(node_context context, entry_node_settings settings,
                       entry_node_hooks hooks)
    : context_(std::move(context))
    , settings_(std::move(settings))
    , hooks_(std::move(hooks))
    , started_(context_.loop.now())
    , scheduler_({lost_agent_grace, settings_.remote_data_factor, started_,
                  discovery_window(settings_.announcement_period)},
                 {[this](agent_incarnation a, const run_batch& b)
                  { send_batch(a, b); },
                  [this](agent_incarnation a, const std::vector<order_id>& ids)
                  { send_cancel(a, ids); },
                  [this](job_key k, const job_outcome& o) { on_finish(k, o); },
                  context_.log,
                  [this]
                  {
                      return peers_.size() + 1;
                  }})
    , hub_({context_.loop, context_.clock, context_.auth, node_link_options(),
            [this]
            {
                return routes_.version();
            }},
           {[this](link_id l, message&& m) { on_message(l, std::move(m)); },
            [this](link_id l, const heartbeat& b)
            {
                entry_links_.on_received(l);
                on_heartbeat(l, b);
            },
            [this](link_id l, const failure& f)
            {
                on_closed(l, f);
            }})
    , listener_(
          [this](object_ptr<GSocketConnection> c)
          {
              hub_.add(std::move(c));
              context_.observer.on_phase(phase_link);
          })
    , entry_links_(context_, hub_,
                   {context_.self.name,
                    entry_record{advertised_links(settings_),
                                 context_.self.failure_domain, 1, false},
                    entry_link_count, true},
                   {[this](link_id l)
                    {
                        context_.observer.on_phase(phase_link);
                        add_peer(l);
                        hub_.send(l, peer_hello{context_.self});
                        send_evacuation(l);
                    },
                    [this](link_id l)
                    {
                        loads_.retire_peer(to_peer(l));
                        unneeded_peers_.emplace(l, context_.loop.now());
                    },
                    [this](const roster_update& u)
                    {
                        pass_on(u);
                    }})
    , reports_(settings_.processor_share,
               {[this](link_id l, const report_request& m) { hub_.send(l, m); },
                context_.log})
    , loads_({settings_.processor_share, context_.self.failure_domain,
              settings_.relay},
             [this](relay_peer_id p, const entry_load& l)
             { hub_.send(to_link(p), l); })
    , relay_decision_(context_.random)
    , relay_(relay_hooks())
{
}

// lifecycle

result<void> entry_node::start()
{
    const auto port = listener_.listen(settings_.links);
    if (!port)
    {
        return tl::unexpected(port.error());
    }
    add_seeds(settings_.seeds);
    last_timer_ = context_.loop.now();
    timer_ = context_.loop.every(timer_period, [this] { on_timer(); });
    return {};
}

void entry_node::add_seeds(const std::vector<endpoint>& seeds)
{
    entry_links_.add_seeds(seeds);
}

void entry_node::begin_stop(std::function<void()> done)
{
    stopping_ = true;
    stop_began_ = context_.loop.now();
    on_stopped_ = std::move(done);
    context_.log(to_line(log_level::info,
                         "graceful stop began with " +
                             std::to_string(scheduler_.running_jobs()) +
                             " running jobs",
                         step_process));
}

void entry_node::on_timer()
{
    const auto now = context_.loop.now();
    const auto pause = now - std::exchange(last_timer_, now);
    const auto lag = std::max(duration(0), pause - timer_period);
    context_.observer.on_loop_lag(lag);
    scheduler_.on_loop_lag(lag, now);
    handle_pause(pause);
    entry_links_.tick();
    close_unneeded_peers(now);
    scheduler_.tick(now);
    relay_.tick(now);
    loads_.tick(now,
                {hooks_.processor_time(), last_key_, relay_.counts().relayed},
                scheduler_.running_jobs(), ready());
    if (stopping_)
    {
        finish_stop();
    }
}

void entry_node::handle_pause(duration pause)
{
    const auto now = context_.loop.now();
    if (pause > max_pause)
    {
        context_.log(to_line(log_level::warning,
                             "process was paused for " + to_ms_text(pause) +
                                 "; giving up " +
                                 std::to_string(scheduler_.running_jobs()) +
                                 " jobs, as agents have stopped their runs",
                             step_process));
        scheduler_.abandon_all("given up (entry process was paused)", now);
        relay_.abandon_all("entry process was paused");
    }
    if (pause > max_unnoticed_pause && pause_handler_)
    {
        const auto ended = pause_handler_(now - pause);
        context_.log(to_line(
            log_level::warning,
            "process was paused for " + to_ms_text(pause) + "; ended " +
                std::to_string(ended) +
                " connections of callers, on which requests may arrive late",
            step_process));
    }
}

void entry_node::on_pause(std::function<std::size_t(time_point)> handler)
{
    pause_handler_ = std::move(handler);
}

void entry_node::finish_stop()
{
    const auto age = context_.loop.now() - stop_began_;
    if (age < min_stop_duration ||
        (scheduler_.running_jobs() + relay_.size() != 0 &&
         age < max_stop_duration))
    {
        return;
    }
    scheduler_.abandon_all("given up (entry process is stopping)",
                           context_.loop.now());
    relay_.abandon_all("entry process is stopping");
    timer_.reset();
    // Leaves time to send the last answers before the event loop ends.
    context_.timers.schedule(50ms, std::exchange(on_stopped_, nullptr));
}

// jobs

duration
entry_node::configuration_hold_time(std::optional<duration> deadline) const
{
    return agatebank::configuration_hold_time(
        context_.loop.now() - started_,
        discovery_window(settings_.announcement_period), deadline);
}

void entry_node::submit(job_caller caller, job_submission arrival)
{
    if (relay_.attach(arrival.id, caller.request, caller.done) ||
        try_relay(caller, arrival))
    {
        return;
    }
    serve(std::move(caller), std::move(arrival));
}

void entry_node::serve(job_caller caller, job_submission arrival)
{
    if (const auto running = scheduler_.find(arrival.id))
    {
        callers_.attach(*running, std::move(caller));
        return;
    }
    const job_key key(++last_key_);
    callers_.add(key, std::move(caller));
    scheduler_.admit(key, std::move(arrival), context_.loop.now());
}

void entry_node::on_finish(job_key key, const job_outcome& outcome)
{
    const auto caller = callers_.take(key);
    if (!caller)
    {
        return;
    }
    caller->done(outcome);
    if (outcome.result == job_result::succeeded)
    {
        context_.observer.on_phase(phase_answer);
    }
}

void entry_node::abandon(uint64_t number)
{
    if (!relay_.abandon(number))
    {
        cancel_request(number, "the caller closed its connection");
    }
}

void entry_node::cancel_request(uint64_t number, const char* why)
{
    if (const auto key = callers_.remove(number))
    {
        scheduler_.cancel(*key, why, context_.loop.now());
    }
}

bool entry_node::cancel(const std::string& job_id)
{
    const auto key = scheduler_.find(job_id);
    if (!key)
    {
        return relay_.cancel(job_id);
    }
    scheduler_.cancel(*key, "requested by the caller", context_.loop.now());
    on_finish(*key, {job_result::abandoned, {}});
    return true;
}

bool entry_node::is_running(const std::string& job_id) const
{
    return scheduler_.find(job_id).has_value() || relay_.is_relayed(job_id);
}

bool entry_node::may_have_run(const std::string& job_id) const
{
    return relay_.is_relayed(job_id) ||
           scheduler_.may_have_run(job_id, context_.loop.now());
}

duration entry_node::since_pause_check() const
{
    return context_.loop.now() - last_timer_;
}

// lookup

bool entry_node::ready() const
{
    return !stopping_ && routes_.version().value() != 0 &&
           std::any_of(scheduler_.targets().begin(), scheduler_.targets().end(),
                       [](const auto& t)
                       { return t.second.load().accepts_work; });
}

void entry_node::report_readiness()
{
    if (!ready_reported_ && ready())
    {
        ready_reported_ = true;
        context_.observer.on_phase(phase_ready);
    }
}

bool entry_node::stopping() const noexcept
{
    return stopping_;
}

const job_scheduler& entry_node::scheduler() const noexcept
{
    return scheduler_;
}

const link_hub& entry_node::links() const noexcept
{
    return hub_;
}

const entry_links& entry_node::entries() const noexcept
{
    return entry_links_;
}

const entry_load_exchange& entry_node::loads() const noexcept
{
    return loads_;
}

const report_requester& entry_node::reports() const noexcept
{
    return reports_;
}

const job_relay& entry_node::relay() const noexcept
{
    return relay_;
}

// links

void entry_node::on_message(link_id link, message&& m)
{
    const auto now = context_.loop.now();
    entry_links_.on_received(link);
    if (const auto* hello = std::get_if<target_hello>(&m))
    {
        on_target_hello(link, *hello);
    }
    else if (const auto* update = std::get_if<target_update>(&m))
    {
        on_target_update(link, *update);
    }
    else if (const auto* results = std::get_if<order_results>(&m))
    {
        const auto it = agents_.find(link);
        if (it != agents_.end())
        {
            const auto agent = it->second;
            for (const auto& result : results->results)
            {
                scheduler_.on_end(agent, result, now);
            }
        }
    }
    else if (const auto* crashes = std::get_if<crash_reports>(&m))
    {
        pass_on(crash_reports{scheduler_.on_crashes(crashes->reports, now)});
    }
    else if (const auto* changes = std::get_if<roster_update>(&m))
    {
        entry_links_.merge(*changes);
    }
    else if (const auto* peer = std::get_if<peer_hello>(&m))
    {
        peer_domains_[link] = peer->self.failure_domain;
        add_peer(link);
        send_evacuation(link);
        hub_.send(link, entry_links_.roster());
        hub_.send(link, crash_reports{scheduler_.crashes().reports()});
    }
    else if (std::holds_alternative<configuration_query>(m))
    {
        hub_.send(link, configuration_document{routes_.version(),
                                               configuration_text_});
    }
    else if (const auto* document = std::get_if<configuration_document>(&m))
    {
        if (!document->text.empty())
        {
            update_configuration(document->text, "another entry");
        }
    }
    else if (const auto* load = std::get_if<entry_load>(&m))
    {
        on_load(link, *load);
    }
    else if (const auto* job = std::get_if<relayed_job>(&m))
    {
        relay_.on_job(to_peer(link), *job);
    }
    else if (const auto* outcome = std::get_if<relayed_outcome>(&m))
    {
        relay_.on_outcome(to_peer(link), *outcome, now);
    }
    else if (const auto* stop = std::get_if<relay_cancel>(&m))
    {
        relay_.on_cancel(to_peer(link), *stop);
    }
    else if (const auto* evacuation = std::get_if<evacuation_update>(&m))
    {
        on_evacuation_update(link, *evacuation);
    }
}

void entry_node::on_heartbeat(link_id link, const heartbeat& beat)
{
    if (agents_.count(link) == 0 && beat.version > routes_.version())
    {
        hub_.send(link, configuration_query{});
    }
}

void entry_node::on_evacuation_update(link_id link,
                                      const evacuation_update& update)
{
    const auto state = to_evacuation_state(update);
    update_evacuation(state, "entry " + hub_.find(link)->peer());
}

// Sent before the first order on a link, so that an agent knows the state
// before it could accept work.
void entry_node::send_evacuation(link_id link)
{
    hub_.send(link, to_evacuation_update(scheduler_.evacuated().state()));
}

void entry_node::on_closed(link_id link, const failure& why)
{
    entry_links_.on_closed(link);
    remove_peer(link);
    const auto it = agents_.find(link);
    if (it == agents_.end())
    {
        return;
    }
    const auto agent = it->second;
    agents_.erase(it);
    reports_.remove_link(link);
    const auto current = agent_links_.find(agent);
    if (current == agent_links_.end() || current->second != link)
    {
        return;
    }
    agent_links_.erase(current);
    context_.log(to_record(log_level::warning, why));
    scheduler_.remove_target(agent, context_.loop.now());
}

void entry_node::on_target_hello(link_id link, const target_hello& hello)
{
    const auto now = context_.loop.now();
    const agent_incarnation agent(hello.self.incarnation);
    const auto known = agent_links_.find(agent);
    if (known != agent_links_.end() && known->second != link)
    {
        const auto old = known->second;
        agents_.erase(old);
        reports_.remove_link(old);
        hub_.close(old);
        scheduler_.remove_target(agent, now);
    }
    auto profile = hello.target;
    if (profile.failure_domain.value().empty())
    {
        profile.failure_domain = hello.self.failure_domain;
    }
    agents_[link] = agent;
    hub_.set_class(link, link_class::agent);
    agent_links_[agent] = link;
    context_.log(to_line(log_level::info,
                         "agent " + hello.self.name + " connected, target " +
                             hello.target.target,
                         step_link, hello.self.name));
    send_evacuation(link);
    scheduler_.put_target(agent, profile, now);
    scheduler_.set_load(agent, hello.load, now);
    context_.observer.on_phase(phase_greeting);
    if (hello.load.accepts_work)
    {
        context_.observer.on_phase(phase_target);
        report_readiness();
    }
    hub_.send(link, entry_links_.roster());
    reports_.count_greeting();
    reports_.add_link(link);
}

void entry_node::add_peer(link_id link)
{
    peers_.insert(link);
    hub_.set_class(link, link_class::entry);
    loads_.add_peer(to_peer(link));
}

void entry_node::pass_on(const roster_update& changes)
{
    for (const auto& [link, agent] : agents_)
    {
        hub_.send(link, changes);
    }
    for (const auto link : peers_)
    {
        hub_.send(link, changes);
    }
}

void entry_node::pass_on(const crash_reports& news)
{
    if (news.reports.empty())
    {
        return;
    }
    for (const auto link : peers_)
    {
        hub_.send(link, news);
    }
}

void entry_node::send_batch(agent_incarnation agent, const run_batch& batch)
{
    const auto it = agent_links_.find(agent);
    if (it != agent_links_.end())
    {
        hub_.send(it->second, batch);
        context_.observer.on_phase(phase_order);
    }
}

void entry_node::send_cancel(agent_incarnation agent,
                             const std::vector<order_id>& orders)
{
    const auto it = agent_links_.find(agent);
    if (it != agent_links_.end())
    {
        hub_.send(it->second, cancel_orders{orders});
    }
}

} // namespace agatebank
