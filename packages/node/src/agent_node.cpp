#include <agatebank/node/agent_node.hpp>

#include <algorithm>
#include <cstdlib>
#include <numeric>
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

/// Shortest interval between two load reports to an entry after a large change.
constexpr duration load_period = 25ms;
/// The same after a small change.
constexpr duration small_change_period = 100ms;
/// A change of used plus queued CPU is large above this share of capacity.
constexpr double large_change = 0.2;
constexpr duration timer_period = 50ms;
/// Long-poll time of a lease call while runs are active: a quarter of the
/// default lease.
constexpr duration lease_wait = 250ms;
/// Long-poll time while nothing runs under the lease.
constexpr duration idle_wait = 400ms;
/// Delay before the next lease call after a failure.
constexpr duration lease_retry = 40ms;
/// The target refuses a start that arrives later than this after sending.
constexpr duration start_validity = 500ms;
/// First increment of a token that the target rejected, doubled each time.
/// Tokens begin at Unix milliseconds, so this skips one day.
constexpr uint64_t first_token_step = 86'400'000;
/// A graceful stop ends by then, before the process is killed with runs active.
constexpr duration stop_limit = 5400ms;
/// Shortest graceful stop: leaves time to send the last run ends to the
/// entries and to finish open connections.
constexpr duration stop_linger = 300ms;

int64_t queued_cpu(const target_load& l)
{
    return std::accumulate(l.queued_cpu_millis.begin(),
                           l.queued_cpu_millis.end(), int64_t{0});
}

// Whether a load differs enough to be reported after the shorter period.
bool differs_much(const target_load& a, const target_load& b,
                  const room& capacity)
{
    const auto change = std::abs(a.used.cpu_millis - b.used.cpu_millis) +
                        std::abs(queued_cpu(a) - queued_cpu(b));
    return a.accepts_work != b.accepts_work || a.suspect != b.suspect ||
           static_cast<double>(change) >
               large_change * static_cast<double>(capacity.cpu_millis);
}

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
                       target_port port)
    : context_(std::move(context))
    , settings_(std::move(settings))
    , port_(std::move(port))
    , board_({[this](const run_name& n, const std::string& p)
              { start_run(n, p); },
              [this](const run_name& n) { stop_run(n); },
              [this](order_source s, const run_end& e) { queue_end(s, e); },
              context_.log})
    , hub_({context_.loop, context_.clock, context_.auth, node_link_options(),
            []
            {
                return config_version();
            }},
           {[this](link_id l, message&& m) { on_message(l, std::move(m)); },
            {},
            [this](link_id l, const failure& f)
            {
                on_closed(l, f);
            }})
    , dialer_(
          context_.timers, {}, context_.random, context_.log,
          [this](std::size_t i, object_ptr<GSocketConnection> c)
          { on_connected(i, std::move(c)); },
          longest_dial_delay)
    , lease_(settings_.lease)
    , token_(static_cast<uint64_t>(g_get_real_time()) / 1000)
    , token_step_(first_token_step)
{
}

// ----- lifecycle -----

void agent_node::start()
{
    last_timer_ = context_.loop.now();
    add_seeds(settings_.seeds);
    timer_ = context_.loop.every(timer_period, [this] { on_timer(); });
}

void agent_node::add_seeds(const std::vector<endpoint>& seeds)
{
    for (const auto& it : seeds)
    {
        learn_entry({it.address, it.port});
    }
}

void agent_node::begin_stop(std::function<void()> done)
{
    stopping_ = true;
    stop_began_ = context_.loop.now();
    stopped_ = std::move(done);
    context_.log(to_line(log_level::info,
                         "graceful stop began with " +
                             std::to_string(board_.running()) + " active runs",
                         step_process));
    renew_open();
}

void agent_node::on_timer()
{
    const auto now = context_.loop.now();
    const auto pause = now - std::exchange(last_timer_, now);
    if (pause > node_link_options().silence_timeout)
    {
        context_.log(to_line(log_level::warning,
                             "process was paused for " +
                                 std::to_string(pause.count() / 1000) +
                                 " ms, longer than the links' silence timeout",
                             step_process));
    }
    board_.tick(now);
    const bool lapsed = lease_.lapsed(now);
    if (lapsed && !runs_gone_)
    {
        runs_gone_ = true;
        board_.on_runs_gone("the lease expired", now);
    }
    renew_open();
    if (stopping_ && stopped_)
    {
        const auto age = now - stop_began_;
        if ((board_.running() == 0 && age > stop_linger) || age > stop_limit)
        {
            context_.timers.schedule(50ms, std::exchange(stopped_, nullptr));
        }
    }
}

// ----- announcements -----

void agent_node::on_announcement(const target_announcement& a)
{
    const bool known = target_ && target_->profile.life == a.profile.life &&
                       target_->profile.target == a.profile.target;
    if (target_ && (a.profile.life < target_->profile.life ||
                    (known && a.sequence <= target_->sequence)))
    {
        return; // delayed: of an earlier incarnation, or out of order
    }
    if (!known)
    {
        begin_life(a);
        return;
    }
    const bool changed = target_->draining != a.draining;
    target_ = a;
    if (changed)
    {
        context_.log(to_line(log_level::info,
                             a.draining ? "target announced that it is draining"
                                        : "target announced that it is ready",
                             step_target, a.profile.target));
        renew_open();
    }
}

void agent_node::on_withdrawal(const std::string& target)
{
    if (target_ && target_->profile.target == target)
    {
        context_.log(to_line(log_level::info, "target deregistered",
                             step_target, target));
        target_->draining = true;
        renew_open();
    }
}

void agent_node::begin_life(const target_announcement& a)
{
    const auto now = context_.loop.now();
    context_.log(to_line(log_level::info,
                         "target announced incarnation " +
                             std::to_string(a.profile.life.value()) +
                             ", kind " + a.profile.kind + ", capacity " +
                             std::to_string(a.profile.capacity.cpu_millis) +
                             " thousandths of a core",
                         step_target, a.profile.target));
    const bool first = !target_;
    target_ = a;
    lease_.reset();
    seen_ = {};
    board_.set_open(false, now);
    board_.set_capacity(a.profile.capacity, now);
    // The higher token makes the target reject delayed calls that were meant
    // for the previous incarnation.
    life_is_new_ = true;
    ++token_;
    port_.set_peer(a.profile.target, token_);
    hello_all();
    if (first)
    {
        extend_lease();
    }
}

// ----- lease -----

void agent_node::schedule_lease(duration delay)
{
    lease_timer_ = context_.loop.after(delay, [this] { extend_lease(); });
}

void agent_node::extend_lease()
{
    const auto now = context_.loop.now();
    lease_request rq;
    rq.seen = seen_;
    const auto clock = lease_.clock(now);
    if (clock && lease_.may_extend(now))
    {
        rq.lease_until = add(*clock, lease_.longest());
        if (was_in_touch_)
        {
            const auto next = board_.next_end(now);
            rq.wait = next ? lease_wait : idle_wait;
            rq.expected_end = std::min(rq.wait, next.value_or(rq.wait));
        }
        lease_.on_sent(now);
        runs_gone_ = false;
    }
    const auto life = target_->profile.life;
    port_.extend_lease(
        rq,
        [this, now, life](tl::expected<lease_answer, lease_failure> a)
        {
            if (life != target_->profile.life)
            {
                schedule_lease(duration(0));
                return;
            }
            if (a)
            {
                on_lease_answer(*a, now);
            }
            else
            {
                on_lease_failure(a.error());
            }
        });
}

void agent_node::on_lease_answer(const lease_answer& a, time_point sent)
{
    const auto now = context_.loop.now();
    if (a.life != target_->profile.life)
    {
        // The target restarted, and has not yet announced its new incarnation.
        board_.set_open(false, now);
        was_in_touch_ = false;
        schedule_lease(lease_retry);
        schedule_flush();
        return;
    }
    if (!was_in_touch_)
    {
        context_.log(to_line(log_level::info, "target answers lease calls",
                             step_lease, target_->profile.target));
    }
    was_in_touch_ = true;
    lease_.on_answer(a.clock, now);
    for (const auto& it : a.ended)
    {
        seen_ = std::max(seen_, it.position);
    }
    if (std::exchange(life_is_new_, false))
    {
        board_.on_new_life(a.running, now);
    }
    board_.on_listing(a, sent, now);
    renew_open();
    schedule_lease(duration(0));
}

void agent_node::on_lease_failure(const lease_failure& f)
{
    const auto now = context_.loop.now();
    if (was_in_touch_)
    {
        context_.log(to_record(log_level::warning, f.reason));
    }
    was_in_touch_ = false;
    switch (f.trouble)
    {
    case lease_trouble::fenced:
        raise_token();
        break;
    case lease_trouble::gone:
        lease_.reset();
        board_.set_open(false, now);
        board_.on_runs_gone("the target accepts no connections", now);
        break;
    case lease_trouble::no_answer:
    case lease_trouble::other_life:
    case lease_trouble::refused:
        break;
    }
    renew_open();
    schedule_lease(lease_retry);
}

void agent_node::raise_token()
{
    token_ += token_step_;
    token_step_ *= 2;
    context_.log(to_line(log_level::warning,
                         "target rejected the fencing token, raised to " +
                             std::to_string(token_),
                         step_lease, target_->profile.target));
    port_.set_peer(target_->profile.target, token_);
}

void agent_node::renew_open()
{
    const auto now = context_.loop.now();
    board_.set_open(is_open(now), now);
    schedule_flush();
}

// ----- runs -----

void agent_node::start_run(const run_name& name, const std::string& payload)
{
    const auto clock = lease_.clock(context_.loop.now());
    const auto life = target_->profile.life;
    port_.start(
        {name, payload, add(clock.value_or(target_time()), start_validity)},
        [this, name, life](start_answer a)
        {
            if (life == target_->profile.life)
            {
                board_.on_start_answer(name, a, context_.loop.now());
                schedule_flush();
            }
        });
}

void agent_node::stop_run(const run_name& name)
{
    const auto life = target_->profile.life;
    port_.stop(name,
               [this, name, life](bool taken)
               {
                   if (life == target_->profile.life)
                   {
                       board_.on_stop_answer(name, taken, context_.loop.now());
                   }
               });
}

// ----- links -----

void agent_node::on_connected(std::size_t position,
                              object_ptr<GSocketConnection> connection)
{
    const auto link = hub_.add(std::move(connection));
    dialled_[position] = link;
    entries_[link] = {};
    dialer_.reset(position);
    context_.log(to_line(log_level::info, "connected to an entry", step_link,
                         dialer_.entries()[position].to_string()));
    if (target_)
    {
        hello(link);
    }
}

void agent_node::on_message(link_id link, message&& m)
{
    const auto found = entries_.find(link);
    if (found == entries_.end())
    {
        return;
    }
    const auto now = context_.loop.now();
    if (const auto* batch = std::get_if<run_batch>(&m))
    {
        for (const auto& it : batch->orders)
        {
            found->second.orders_seen =
                std::max(found->second.orders_seen, it.id.value());
        }
        board_.on_batch(to_source(link), *batch, now);
        schedule_flush();
    }
    else if (const auto* cancel = std::get_if<cancel_runs>(&m))
    {
        board_.on_cancel(to_source(link), cancel->orders, now);
        schedule_flush();
    }
    else if (const auto* entries = std::get_if<known_entries>(&m))
    {
        for (const auto& it : entries->entries)
        {
            learn_entry(it);
        }
    }
}

void agent_node::on_closed(link_id link, const failure& why)
{
    context_.log(to_record(log_level::warning, why));
    entries_.erase(link);
    for (auto it = dialled_.begin(); it != dialled_.end(); ++it)
    {
        if (it->second == link)
        {
            const auto position = it->first;
            dialled_.erase(it);
            dialer_.dial_later(position);
            break;
        }
    }
    board_.on_source_lost(to_source(link), context_.loop.now());
    schedule_flush();
}

void agent_node::learn_entry(const entry_address& entry)
{
    if (!roster_.add(entry))
    {
        return;
    }
    dialer_.dial(dialer_.add({entry.address, entry.port}));
    for (const auto& [link, e] : entries_)
    {
        hub_.send(link, roster_.to_message());
    }
}

target_load agent_node::load_now() const
{
    const auto now = context_.loop.now();
    auto load = board_.load(now);
    load.accepts_work = is_open(now);
    return load;
}

bool agent_node::is_open(time_point now) const
{
    return target_ && !target_->draining && !stopping_ && lease_.in_touch(now);
}

void agent_node::hello(link_id link)
{
    auto& e = entries_.at(link);
    e.told = load_now();
    e.told.orders_seen = e.orders_seen;
    hub_.send(link, target_hello{context_.self, target_->profile, e.told});
    hub_.send(link, roster_.to_message());
}

void agent_node::hello_all()
{
    for (const auto& [link, e] : entries_)
    {
        hello(link);
    }
}

void agent_node::queue_end(order_source to, const run_end& end)
{
    const auto it = entries_.find(link_id(to.value()));
    if (it != entries_.end())
    {
        it->second.ends.push_back(end);
        schedule_flush();
    }
}

// Run ends and changes of accepts_work are sent at once. Other changes of the
// load wait until the period for their size has passed.
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
    auto load = load_now();
    bool untold = false;
    for (auto& [link, e] : entries_)
    {
        if (!e.ends.empty())
        {
            hub_.send(link, run_ends{std::exchange(e.ends, {})});
        }
        load.orders_seen = e.orders_seen;
        if (load == e.told)
        {
            continue;
        }
        const bool large =
            differs_much(load, e.told, target_->profile.capacity);
        const bool urgent = load.accepts_work != e.told.accepts_work;
        if (urgent ||
            now - e.told_at >= (large ? load_period : small_change_period))
        {
            hub_.send(link, target_update{load});
            e.told = load;
            e.told_at = now;
        }
        else
        {
            untold = true;
        }
    }
    if (untold && !load_timer_)
    {
        load_timer_ = context_.loop.after(load_period,
                                          [this]
                                          {
                                              load_timer_.reset();
                                              schedule_flush();
                                          });
    }
}

// ----- lookup -----

bool agent_node::ready() const
{
    return target_ && was_in_touch_ && !entries_.empty();
}

const run_board& agent_node::board() const noexcept
{
    return board_;
}

const link_hub& agent_node::links() const noexcept
{
    return hub_;
}

} // namespace agatebank
