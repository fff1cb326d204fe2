#include <agatebank/core/duration_math.hpp>
#include <agatebank/node/agent_node.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr const char* step_target = "target";
constexpr const char* step_process = "process";

constexpr duration timer_period = 50ms;
/// First increment of a token that the target rejected, doubled each time.
/// Tokens begin at Unix milliseconds, so this skips one day.
constexpr uint64_t first_fencing_token_step = 86'400'000;
/// A graceful stop ends by then, before the process is killed with runs active.
constexpr duration max_stop_duration = 5400ms;
/// Shortest graceful stop: leaves time to send the last order results to the
/// entries and to finish open connections.
constexpr duration min_stop_duration = 300ms;

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
                  context_.log, [this](order_source s) { return may_start(s); },
                  port_.copies_of_start},
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
                start_waiting();
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
        scheduler_.on_lease_expired(now);
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
        if (announcements_.is_followed(announcement))
        {
            update_drain();
            break;
        }
        [[fallthrough]];
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
    const bool drained = target_->draining;
    set_cold(announcement);
    const auto& capacity = announcement.profile.capacity;
    const auto previous = target_->profile.capacity;
    target_ = announcement;
    target_->draining = drained;
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
    update_drain();
}

void agent_node::update_drain()
{
    const bool draining = announcements_.draining();
    if (std::exchange(target_->draining, draining) != draining)
    {
        context_.log(to_line(log_level::info,
                             draining ? "target announced that it is draining"
                                      : "target announced that it is ready",
                             step_target, target_->profile.target));
        update_acceptance();
    }
}

void agent_node::on_deregistration(const std::string& target)
{
    if (target_ && target_->profile.target == target)
    {
        context_.log(to_line(log_level::info, "target deregistered",
                             step_target, target));
        announcements_.on_deregistration();
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
    target_->draining = announcements_.draining();
    lease_.reset();
    last_end_seen_ = {};
    scheduler_.set_accepting_orders(false, now);
    scheduler_.set_capacity(announcement.profile.capacity, now);
    first_list_pending_ = true;
    // The higher token makes the target reject delayed calls that were meant
    // for the previous incarnation.
    ++fencing_token_;
    set_target();
    send_hello_to_all();
    // At once, as the target accepts delayed calls until it has seen the token.
    extend_lease();
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
