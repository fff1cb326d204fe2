#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/run_scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

// The ends of a run_scheduler's orders: which runs have ended, and what is
// reported of them.

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// Starts that are this close together may begin in another order at the
/// target, as they are sent over several connections.
constexpr duration start_resolution = 10ms;
/// Longest time from a start until its end is reported although copies of the
/// call are not settled. The last copy is sent after 100 ms and given up after
/// another 400 ms. An incarnation that carries it out until then ends the run
/// 1,100 ms later, unless its lease is extended: a lease of 1,000 ms by a clock
/// that is 4 % slow, and 60 ms to kill the run.
constexpr duration max_end_hold = 1600ms;

} // namespace

// ends with the target

void run_scheduler::on_lease_expired(time_point now)
{
    finish_runs_except({}, {"the lease expired"}, now);
    unknown_runs_.clear();
    forget_run_numbers();
    health_.reset();
}

void run_scheduler::on_target_unreachable(duration lease_left, time_point now)
{
    last_asked_at_ = now; // what was accepted before ends with the lease
    finish_runs_except(
        {}, {"the target accepts no connections", false, lease_left}, now);
    health_.reset();
}

void run_scheduler::on_new_incarnation(const lease_answer& listing,
                                       time_point now)
{
    std::set<run_id> listed;
    unknown_runs_.clear();
    confirm_losses();
    for (const auto& [id, key] : started_runs_)
    {
        orders_.at(key).copies_fenced = true;
    }
    for (const auto& it : listing.ended)
    {
        listed.insert(it.id);
    }
    for (const auto& it : listing.running)
    {
        listed.insert(it.id);
        const auto known = started_runs_.find(it.id);
        if (known != started_runs_.end())
        {
            // The new incarnation knows of no earlier stop request.
            auto& r = orders_.at(known->second);
            leave_hold(r);
            r.state = run_state::running;
            stop_run(r, run_outcome::stopped, now);
        }
        else
        {
            unknown_runs_.insert(it.id);
        }
    }
    release_held(now, listed);
    finish_runs_except(listed,
                       {"the target has started a new incarnation", true}, now);
    health_.reset();
    speed_.reset();
}

void run_scheduler::finish_runs_except(const std::set<run_id>& kept,
                                       const target_loss& loss, time_point now)
{
    std::vector<order_key> unlisted;
    for (const auto& [id, key] : started_runs_)
    {
        auto& r = orders_.at(key);
        if (r.state == run_state::held)
        {
            r.hold = end_hold::unanswered;
        }
        else if (kept.count(id) == 0)
        {
            unlisted.push_back(key);
        }
    }
    if (unlisted.empty())
    {
        return;
    }
    ++counts_.target_losses;
    time_point latest_start;
    for (const auto& it : unlisted)
    {
        latest_start = std::max(latest_start, orders_.at(it).started);
    }
    std::vector<lost_run> lost;
    for (const auto& it : unlisted)
    {
        const auto& r = orders_.at(it);
        lost.push_back({{r.job, r.order.step, r.order.index},
                        route_name(r.route),
                        loss_number(counts_.target_losses),
                        r.order.isolated,
                        loss.crashed && r.known_to_run,
                        latest_start - r.started <= start_resolution});
        if (loss.may_run.count() > 0 && r.known_to_run)
        {
            unconfirmed_losses_.push_back(lost.back());
        }
    }
    hooks_.report_loss(lost);
    for (const auto& it : unlisted)
    {
        // The run that started last before a crash is the most likely cause.
        auto& r = orders_.at(it);
        r.may_run_until = now + loss.may_run;
        log(log_level::warning, r,
            std::string("run ended without a report from the target: ") +
                loss.why + "; started " + to_ms_text(now - r.started) +
                " ago, attempt " + std::to_string(r.order.attempt) +
                ", lost together with " + std::to_string(unlisted.size() - 1) +
                " other runs, may go on for " + to_ms_text(loss.may_run));
        finish_settled(it, run_outcome::target_lost, end_hold::unanswered, now);
    }
}

void run_scheduler::confirm_losses()
{
    auto lost = std::exchange(unconfirmed_losses_, {});
    if (lost.empty())
    {
        return;
    }
    for (auto& it : lost)
    {
        it.confirmed = true;
    }
    hooks_.report_loss(lost);
}

// ends listed by the target

void run_scheduler::process_ended_runs(const std::vector<ended_run>& ended,
                                       time_point now)
{
    for (const auto& e : ended)
    {
        const auto it = started_runs_.find(e.id);
        if (it == started_runs_.end())
        {
            continue;
        }
        const auto key = it->second;
        auto& r = orders_.at(key);
        r.known_to_run = true;
        if (r.state == run_state::held && e.status != ended_run_status::done)
        {
            continue;
        }
        switch (e.status)
        {
        case ended_run_status::done:
            learn_from_run(r, now);
            finish(key, run_outcome::done, now);
            break;
        case ended_run_status::failed:
            health_.on_failed(now);
            finish_settled(key, run_outcome::failed, end_hold::under_way, now);
            break;
        case ended_run_status::stopped:
            // A target that restarts ends its runs without a stop request.
            finish_settled(key,
                           r.state == run_state::stopping &&
                                   r.outcome != run_outcome::not_run
                               ? r.outcome
                               : run_outcome::stopped,
                           r.state == run_state::stopping && r.stop_accepted
                               ? end_hold::under_way
                               : end_hold::unanswered,
                           now);
            break;
        }
    }
}

// Once the speed is learned, runs during a slowdown are ignored, as they don't
// show the usual speed.
void run_scheduler::learn_from_run(const order_record& r, time_point now)
{
    if (r.cold)
    {
        // Counts as a success only: the time shows neither the usual speed nor
        // a fault of the target.
        health_.on_done(duration(0), duration(0), now);
        return;
    }
    const duration measured = now - r.started;
    const duration reference(r.order.reference_us);
    const bool learned = speed_.is_learned() && reference.count() > 0;
    health_.on_done(measured,
                    learned ? scale(reference, 1 / speed_.speed())
                            : duration(r.order.expected_us),
                    now);
    health_.on_run_end(false, now);
    if (!learned || health_.slowdown(now) == 1)
    {
        speed_.observe(reference, measured);
    }
}

// Ends runs that the target does not list although it accepted their start or
// stop before the listing was requested: they no longer run. Runs whose request
// is younger or unanswered may be missing because the target had not received
// it yet.
void run_scheduler::finish_unlisted_runs(time_point asked_at, time_point now)
{
    std::vector<std::pair<order_key, run_outcome>> missing;
    for (const auto& [id, key] : started_runs_)
    {
        const auto& r = orders_.at(key);
        const bool settled =
            (r.state == run_state::running ||
             (r.state == run_state::stopping && r.stop_accepted)) &&
            r.last_exchange_at < asked_at;
        if (settled && r.last_listed_in != listing_count_)
        {
            missing.emplace_back(key, r.state == run_state::stopping
                                          ? r.outcome
                                          : run_outcome::stopped);
        }
    }
    for (const auto& [key, outcome] : missing)
    {
        finish_settled(key, outcome,
                       orders_.at(key).state == run_state::stopping
                           ? end_hold::under_way
                           : end_hold::unanswered,
                       now);
    }
}

// holds

bool run_scheduler::may_start_again(const order_record& r, end_hold hold) const
{
    if (!hooks_.copies_of_start || r.copies_fenced)
    {
        return false;
    }
    const auto call = hooks_.copies_of_start(r.current_run);
    return call.copies == start_copies::under_way ||
           (call.copies == start_copies::unanswered &&
            hold == end_hold::unanswered) ||
           (call.since != time_point() && call.since >= last_asked_at_);
}

bool run_scheduler::may_have_run(const order_record& r) const
{
    // A copy that the new incarnation carried out before it saw the token may
    // have ended, and been forgotten, before the first list.
    return r.known_to_run || r.start_unanswered || r.copies_fenced ||
           (hooks_.copies_of_start &&
            hooks_.copies_of_start(r.current_run).copies !=
                start_copies::settled);
}

void run_scheduler::finish_settled(const order_key& key, run_outcome outcome,
                                   end_hold hold, time_point now)
{
    auto& r = orders_.at(key);
    if (!r.report_requested || now - r.started >= max_end_hold ||
        !may_start_again(r, hold))
    {
        finish(key, outcome, now);
        return;
    }
    ++counts_.held_ends;
    ++held_count_;
    r.state = run_state::held;
    r.hold = hold;
    r.outcome = outcome;
    r.held_since = now;
    log(log_level::info, r,
        std::string("end of the run as ") + to_word(outcome) +
            " is not reported yet, as a copy of its start call may still be "
            "carried out; started " +
            to_ms_text(now - r.started) + " ago");
}

void run_scheduler::leave_hold(const order_record& r)
{
    held_count_ -= r.state == run_state::held ? 1 : 0;
}

void run_scheduler::release_held(time_point now, const std::set<run_id>& kept)
{
    if (held_count_ == 0)
    {
        return;
    }
    std::vector<order_key> released;
    for (const auto& [id, key] : started_runs_)
    {
        const auto& r = orders_.at(key);
        if (r.state != run_state::held || kept.count(id) != 0)
        {
            continue;
        }
        const bool settled = !may_start_again(r, r.hold);
        const bool expired = !settled && now - r.started >= max_end_hold;
        if (settled || expired)
        {
            counts_.expired_holds += expired ? 1 : 0;
            log(log_level::info, r,
                "end of the run was held for " +
                    to_ms_text(now - r.held_since) +
                    (expired ? ", copies of its start call are not settled"
                             : ""));
            released.push_back(key);
        }
    }
    for (const auto& it : released)
    {
        finish(it, orders_.at(it).outcome, now);
    }
}

bool run_scheduler::holds_ends() const noexcept
{
    return held_count_ != 0;
}

// reports

void run_scheduler::finish(const order_key& key, run_outcome outcome,
                           time_point now)
{
    const auto it = orders_.find(key);
    const auto& r = it->second;
    if (outcome == run_outcome::not_run && r.state != run_state::queued &&
        may_have_run(r))
    {
        outcome = run_outcome::stopped;
    }
    order_result end{r.order.id, outcome, 0, 0, r.expected_wait.count()};
    if (r.state == run_state::queued)
    {
        end.queued_us = (now - r.received).count();
        queue_.erase(r.rank);
    }
    else
    {
        end.queued_us = (r.started - r.received).count();
        end.run_us =
            ((r.state == run_state::held ? r.held_since : now) - r.started)
                .count();
        end.cold = r.cold;
        if (outcome == run_outcome::target_lost)
        {
            end.may_run_us =
                std::max(duration(0), r.may_run_until - now).count();
        }
        leave_hold(r);
        release_resources(r);
    }
    switch (outcome)
    {
    case run_outcome::done:
        ++counts_.done;
        break;
    case run_outcome::failed:
        ++counts_.failed;
        break;
    case run_outcome::stopped:
        ++counts_.stopped;
        break;
    case run_outcome::stalled:
        ++counts_.stalled;
        break;
    case run_outcome::target_lost:
        ++counts_.lost_runs;
        break;
    case run_outcome::not_run:
    case run_outcome::past_deadline:
    case run_outcome::returned:
        ++counts_.not_run;
        break;
    }
    if (outcome != run_outcome::done)
    {
        log(log_level::info, r,
            std::string("order ended as ") + to_word(outcome) +
                ", queued for " + to_ms_text(duration(end.queued_us)) +
                ", ran for " + to_ms_text(duration(end.run_us)));
    }
    const bool report_requested = r.report_requested;
    orders_.erase(it);
    if (report_requested)
    {
        hooks_.report(key.first, end);
    }
}

} // namespace agatebank
