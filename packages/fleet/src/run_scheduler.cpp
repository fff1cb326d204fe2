#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/run_scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// Interval after which an unanswered stop request is repeated.
constexpr duration stop_retry_interval = 200ms;
/// Limit on the tasks whose last run number is kept, to bound memory. A number
/// that is reused after the limit was exceeded is answered as superseded, and
/// the next higher one is tried.
constexpr std::size_t max_tracked_run_numbers = 20000;

/// Factor by which a run of a cold target is assumed to take longer. The
/// announcement says how long the target stays cold, not how slow it is.
constexpr double cold_slowdown = 2;

std::string to_task_name(const std::string& job, const run_order& o)
{
    return job + ".0." + std::to_string(o.step) + "." + std::to_string(o.index);
}

} // namespace

run_scheduler::run_scheduler(run_scheduler_hooks hooks,
                             run_scheduler_options options)
    : hooks_(std::move(hooks)), options_(options)
{
}

// target

void run_scheduler::set_capacity(const resources& capacity, time_point now)
{
    capacity_ = capacity;
    refusal_.reset();
    tick(now);
}

void run_scheduler::set_cold_until(time_point t)
{
    cold_until_ = t;
}

double run_scheduler::slowdown(time_point now) const
{
    return now < cold_until_ ? std::max(cold_slowdown, health_.slowdown(now))
                             : health_.slowdown(now);
}

void run_scheduler::set_accepting_orders(bool open, time_point now)
{
    if (open_ == open)
    {
        return;
    }
    open_ = open;
    if (open)
    {
        tick(now);
        return;
    }
    while (!queue_.empty())
    {
        // Copied, as the order's end erases the element of the queue.
        const auto key = std::get<order_key>(*queue_.begin());
        finish(key, run_outcome::not_run, now);
    }
}

void run_scheduler::withdraw_starts(time_point now)
{
    for (const auto& [id, key] : started_runs_)
    {
        auto& r = orders_.at(key);
        if (r.state == run_state::starting)
        {
            log(log_level::info, r,
                "start withdrawn, it was not answered within " +
                    to_ms_text(now - r.started));
            stop_run(r, run_outcome::not_run, now);
        }
    }
}

// orders

void run_scheduler::on_batch(order_source from, const run_batch& batch,
                             time_point now)
{
    if (!open_)
    {
        return_batch(from, batch);
        return;
    }
    for (const auto& o : batch.orders)
    {
        ++counts_.orders;
        const order_key key{from, o.id};
        order_record r;
        r.job = batch.job;
        r.route = batch.route;
        r.payload = batch.payload;
        r.task_resources = batch.task_resources;
        r.priority = batch.priority;
        r.objective = now + duration(batch.objective_us);
        r.useful_until = now + duration(batch.useful_until_us);
        r.deadline = now + duration(batch.deadline_us);
        r.order = o;
        r.received = now;
        const auto [it, is_new] = orders_.emplace(key, std::move(r));
        if (is_new)
        {
            enqueue(key, it->second, now);
        }
    }
    start_next(now);
    if (options_.returns.early || options_.returns.useless)
    {
        return_queued(now);
    }
}

void run_scheduler::return_batch(order_source from, const run_batch& batch)
{
    for (const auto& o : batch.orders)
    {
        ++counts_.orders;
        ++counts_.not_run;
        hooks_.report(from, {o.id, run_outcome::not_run, 0, 0, 0});
    }
}

void run_scheduler::on_cancel(order_source from,
                              const std::vector<order_id>& ids, time_point now)
{
    for (const auto id : ids)
    {
        const auto it = orders_.find({from, id});
        if (it != orders_.end())
        {
            it->second.report_requested = false;
            cancel_order(it->first, it->second, run_outcome::stopped, now);
        }
    }
    start_next(now);
}

void run_scheduler::on_source_lost(order_source from, time_point now)
{
    std::vector<order_id> ids;
    for (const auto& [key, r] : orders_)
    {
        if (key.first == from)
        {
            ids.push_back(key.second);
        }
    }
    on_cancel(from, ids, now);
}

// Removes a queued order, or stops the run of a started one.
void run_scheduler::cancel_order(const order_key& key, order_record& r,
                                 run_outcome outcome, time_point now)
{
    if (r.state == run_state::queued)
    {
        queue_.erase(r.rank);
        orders_.erase(key);
        return;
    }
    if (r.state == run_state::held)
    {
        finish(key, r.outcome, now);
        return;
    }
    stop_run(r, outcome, now);
}

// starts

void run_scheduler::forget_run_numbers()
{
    last_run_numbers_.clear();
    for (const auto& [id, key] : started_runs_)
    {
        auto& last = last_run_numbers_[id.task];
        last = std::max(last, id.run);
    }
}

void run_scheduler::start_run(const order_key& key, order_record& r,
                              time_point now)
{
    if (last_run_numbers_.size() > max_tracked_run_numbers)
    {
        forget_run_numbers();
    }
    r.current_run.task = to_task_name(r.job, r.order);
    auto& last = last_run_numbers_[r.current_run.task];
    last = std::max(r.order.attempt, last + 1);
    r.current_run.run = last;
    r.state = run_state::starting;
    r.known_to_run = false;
    r.start_unanswered = false;
    r.cold = now < cold_until_;
    r.started = now;
    r.progressed_at = now;
    r.percent = 0;
    r.hanging = false;
    used_ += r.task_resources;
    isolated_runs_ += r.order.isolated ? 1 : 0;
    started_runs_[r.current_run] = key;
    ++counts_.starts;
    hooks_.start(r.current_run, r.payload);
}

void run_scheduler::release_resources(const order_record& r)
{
    used_ -= r.task_resources;
    isolated_runs_ -= r.order.isolated ? 1 : 0;
    started_runs_.erase(r.current_run);
}

void run_scheduler::stop_run(order_record& r, run_outcome outcome,
                             time_point now)
{
    r.outcome = outcome;
    leave_hold(r);
    if (r.state == run_state::stopping)
    {
        return;
    }
    r.state = run_state::stopping;
    r.stop_began = now;
    r.stop_accepted = false;
    r.last_exchange_at = now;
    hooks_.stop(r.current_run);
}

// responses of the target

void run_scheduler::on_start_answer(const run_id& id, start_answer answer,
                                    time_point now)
{
    const auto it = started_runs_.find(id);
    if (it == started_runs_.end())
    {
        return;
    }
    const auto key = it->second;
    auto& r = orders_.at(key);
    r.known_to_run |= answer == start_answer::accepted;
    r.start_unanswered |= answer == start_answer::unknown;
    if (r.state != run_state::starting)
    {
        return; // already being stopped, or already listed as running
    }
    if (answer != start_answer::accepted && answer != start_answer::unknown &&
        may_start_again(r, end_hold::unanswered))
    {
        log(log_level::info, r,
            "start request was refused, and a copy of it is not answered; "
            "stopping the run");
        if (answer == start_answer::no_capacity)
        {
            on_capacity_refusal(r, now);
        }
        else if (answer != start_answer::superseded)
        {
            health_.on_failed(now);
        }
        stop_run(r, run_outcome::not_run, now);
        return;
    }
    switch (answer)
    {
    case start_answer::accepted:
        r.state = run_state::running;
        r.last_exchange_at = now;
        if (refusal_ && now >= refusal_->until)
        {
            refusal_.reset();
        }
        return;
    case start_answer::unknown:
        ++counts_.unanswered_starts;
        log(log_level::warning, r,
            "start request was not answered; stopping the run");
        health_.on_failed(now);
        stop_run(r, run_outcome::not_run, now);
        return;
    case start_answer::superseded:
    case start_answer::no_capacity:
        if (!open_)
        {
            finish(key, run_outcome::not_run, now);
            return;
        }
        if (answer == start_answer::no_capacity)
        {
            on_capacity_refusal(r, now);
        }
        else
        {
            log(log_level::info, r,
                "run number superseded at the target; trying the next one");
        }
        release_resources(r);
        r.state = run_state::queued;
        enqueue(key, r, now);
        return;
    case start_answer::expired:
    case start_answer::fenced:
    case start_answer::refused:
        health_.on_failed(now);
        finish(key, run_outcome::not_run, now);
        return;
    }
}

void run_scheduler::on_stop_answer(const run_id& id, bool taken, time_point now)
{
    const auto it = started_runs_.find(id);
    if (it == started_runs_.end())
    {
        return;
    }
    auto& r = orders_.at(it->second);
    r.last_exchange_at = now;
    r.stop_accepted = taken;
}

void run_scheduler::on_listing(const lease_answer& listing, time_point asked_at,
                               time_point now)
{
    ++listing_count_;
    last_asked_at_ = asked_at;
    unconfirmed_losses_.clear(); // it was only cut off
    process_ended_runs(listing.ended, now);
    unknown_runs_.clear();
    process_active_runs(listing, asked_at, now);
    finish_unlisted_runs(asked_at, now);
    tick(now);
}

void run_scheduler::process_active_runs(const lease_answer& listing,
                                        time_point asked_at, time_point now)
{
    for (const auto& it : listing.running)
    {
        const auto found = started_runs_.find(it.id);
        if (found == started_runs_.end())
        {
            // Started by a previous agent, or a start request that the
            // target carried out late.
            unknown_runs_.insert(it.id);
            hooks_.stop(it.id);
            continue;
        }
        auto& r = orders_.at(found->second);
        if (r.percent != it.percent)
        {
            r.percent = it.percent;
            r.progressed_at = asked_at;
        }
        r.hanging = is_hanging(asked_at - r.progressed_at,
                               duration(r.order.expected_us));
        r.last_listed_in = listing_count_;
        r.known_to_run = true;
        if (r.state == run_state::held)
        {
            // A copy of the start call was carried out after the end.
            stop_run(r, run_outcome::stopped, now);
        }
        if (r.state == run_state::starting)
        {
            r.state = run_state::running;
            r.last_exchange_at = now;
        }
        if (r.state == run_state::running &&
            is_stalled({asked_at - r.started,
                        scale(duration(r.order.expected_us),
                              r.cold ? cold_slowdown : 1),
                        it.percent}))
        {
            log(log_level::warning, r,
                "stopping stalled run: " + std::to_string(it.percent) +
                    " % done after " + to_ms_text(asked_at - r.started) +
                    ", expected run time " +
                    to_ms_text(duration(r.order.expected_us)));
            health_.on_failed(now);
            health_.on_run_end(r.hanging, now);
            counts_.hung += r.hanging ? 1 : 0;
            stop_run(r, run_outcome::stalled, now);
        }
    }
}

void run_scheduler::tick(time_point now)
{
    for (auto& [id, key] : started_runs_)
    {
        auto& r = orders_.at(key);
        if (r.state == run_state::stopping && !r.stop_accepted &&
            now - r.last_exchange_at > stop_retry_interval)
        {
            r.last_exchange_at = now;
            hooks_.stop(id);
        }
    }
    release_held(now);
    return_queued(now);
    start_next(now);
}

// lookup

target_load run_scheduler::load(time_point now) const
{
    target_load out;
    out.capacity = capacity_;
    out.used = used_;
    out.suspect = health_.suspect(now);
    out.slowdown = slowdown(now);
    out.cold = now < cold_until_;
    out.speed = speed_.is_learned() ? speed_.speed() : 0;
    if (options_.report_hangs)
    {
        const auto hanging =
            std::count_if(started_runs_.begin(), started_runs_.end(),
                          [this](const auto& it)
                          {
                              const auto& r = orders_.at(it.second);
                              return r.hanging && r.state == run_state::running;
                          });
        out.hang_share =
            health_.hang_share(static_cast<std::size_t>(hanging), now);
    }
    int64_t expected = 0;
    for (const auto& [key, r] : orders_)
    {
        expected += r.order.expected_us;
        if (r.state == run_state::queued)
        {
            // The last band does not delay tasks of the other bands.
            const bool on_time = timeliness_of(r, now) == timeliness::on_time &&
                                 !waits_near_data(r);
            out.queued_cpu_millis[on_time ? to_band(r.priority)
                                          : priority_bands - 1] +=
                r.task_resources.cpu_millis;
        }
    }
    if (!orders_.empty())
    {
        out.mean_run_us =
            static_cast<int64_t>(out.slowdown * static_cast<double>(expected) /
                                 static_cast<double>(orders_.size()));
    }
    return out;
}

std::optional<duration> run_scheduler::time_to_next_end(time_point now) const
{
    std::optional<duration> out;
    for (const auto& [id, key] : started_runs_)
    {
        const auto& r = orders_.at(key);
        if (r.state == run_state::held)
        {
            continue;
        }
        const auto left = std::max(
            duration(0), r.started + duration(r.order.expected_us) - now);
        out = out ? std::min(*out, left) : left;
    }
    return out;
}

std::size_t run_scheduler::running() const noexcept
{
    return started_runs_.size();
}

bool run_scheduler::has_unknown_runs() const noexcept
{
    return !unknown_runs_.empty();
}

bool run_scheduler::has_orders(order_source from) const
{
    const auto it = orders_.lower_bound({from, order_id()});
    return it != orders_.end() && it->first.first == from;
}

std::optional<time_point> run_scheduler::oldest_stop() const
{
    std::optional<time_point> out;
    for (const auto& [id, key] : started_runs_)
    {
        const auto& r = orders_.at(key);
        if (r.state == run_state::stopping)
        {
            out = std::min(r.stop_began, out.value_or(r.stop_began));
        }
    }
    return out;
}

std::size_t run_scheduler::queued() const noexcept
{
    return queue_.size();
}

const run_scheduler_counts& run_scheduler::counts() const noexcept
{
    return counts_;
}

void run_scheduler::log(log_level level, const order_record& r,
                        std::string text) const
{
    log_record out;
    out.level = level;
    out.text = std::move(text);
    out.step = "run";
    out.submission = r.job;
    out.task = static_cast<int32_t>(r.order.index);
    hooks_.log(out);
}

} // namespace agatebank
