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

} // namespace

// ends with the target

void run_scheduler::on_all_runs_ended(bool crashed, const char* why,
                                      time_point now)
{
    finish_runs_except({}, crashed, why, now);
    left_runs_.clear();
    last_run_numbers_.clear();
    health_.reset();
}

void run_scheduler::on_new_incarnation(const std::vector<active_run>& running,
                                       time_point now)
{
    std::set<run_id> listed;
    left_runs_.clear();
    for (const auto& it : running)
    {
        listed.insert(it.id);
        const auto known = started_runs_.find(it.id);
        if (known != started_runs_.end())
        {
            stop_run(orders_.at(known->second), run_outcome::stopped, now);
        }
        else
        {
            left_runs_.insert(it.id);
        }
    }
    finish_runs_except(listed, true, "the target has started a new incarnation",
                       now);
    health_.reset();
    speed_.reset();
}

void run_scheduler::finish_runs_except(const std::set<run_id>& kept,
                                       bool crashed, const char* why,
                                       time_point now)
{
    std::vector<order_key> unlisted;
    for (const auto& [id, key] : started_runs_)
    {
        if (kept.count(id) == 0)
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
                        r.order.isolated,
                        crashed && r.known_to_run,
                        latest_start - r.started <= start_resolution});
    }
    hooks_.report_loss(lost);
    for (const auto& it : unlisted)
    {
        // The run that started last before a crash is the most likely cause.
        const auto& r = orders_.at(it);
        log(log_level::warning, r,
            std::string("run ended without a report from the target: ") + why +
                "; started " + to_ms_text(now - r.started) + " ago, attempt " +
                std::to_string(r.order.attempt) + ", lost together with " +
                std::to_string(unlisted.size() - 1) + " other runs");
        finish(it, run_outcome::target_lost, now);
    }
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
        const auto& r = orders_.at(key);
        switch (e.status)
        {
        case ended_run_status::done:
            learn_from_run(r, now);
            finish(key, run_outcome::done, now);
            break;
        case ended_run_status::failed:
            health_.on_failed(now);
            finish(key, run_outcome::failed, now);
            break;
        case ended_run_status::stopped:
            finish(key,
                   r.state == run_state::stopping &&
                           r.outcome != run_outcome::not_run
                       ? r.outcome
                       : run_outcome::stopped,
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
        finish(key, outcome, now);
    }
}

// reports

void run_scheduler::finish(const order_key& key, run_outcome outcome,
                           time_point now)
{
    const auto it = orders_.find(key);
    const auto& r = it->second;
    order_result end{r.order.id, outcome, 0, 0, r.expected_wait.count()};
    if (r.state == run_state::queued)
    {
        end.queued_us = (now - r.received).count();
        queue_.erase(r.rank);
    }
    else
    {
        end.queued_us = (r.started - r.received).count();
        end.run_us = (now - r.started).count();
        end.cold = r.cold;
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
