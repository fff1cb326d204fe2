#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/run_scheduler.hpp>
#include <agatebank/fleet/start_estimator.hpp>

#include <algorithm>
#include <string>
#include <vector>

// The queue of a run_scheduler: ranks, starts and returns of queued orders.

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// Time for which a use of resources that the target refused is not tried
/// again, doubled with each refusal. A refused start has a cost, and the
/// announcement of a smaller capacity follows within seconds.
constexpr duration first_refusal_pause = 200ms;
constexpr duration max_refusal_pause = 2s;

} // namespace

// queue

run_scheduler::timeliness run_scheduler::timeliness_of(const order_record& r,
                                                       time_point now)
{
    const auto end = now + duration(r.order.expected_us);
    if (end <= r.objective)
    {
        return timeliness::on_time;
    }
    return end <= r.useful_until ? timeliness::late : timeliness::useless;
}

bool run_scheduler::waits_near_data(const order_record& r)
{
    return r.order.keep && r.order.max_wait_us > 0;
}

run_scheduler::queue_rank run_scheduler::rank_of(const order_key& key,
                                                 const order_record& r,
                                                 time_point now) const
{
    const auto how = timeliness_of(r, now);
    const auto until = how == timeliness::on_time ? r.objective
                       : how == timeliness::late  ? r.useful_until
                                                  : r.deadline;
    return {waits_near_data(r), how, to_band(r.priority),
            until - duration(r.order.expected_us), key};
}

void run_scheduler::enqueue(const order_key& key, order_record& r,
                            time_point now)
{
    r.rank = rank_of(key, r, now);
    queue_.insert(r.rank);
}

void run_scheduler::start_next(time_point now)
{
    auto next = queue_.begin();
    while (open_ && next != queue_.end())
    {
        const auto rank = *next;
        const auto key = std::get<order_key>(rank);
        auto& r = orders_.at(key);
        if (now + duration(r.order.expected_us) + report_delivery_time >
            r.deadline)
        {
            ++next;
            finish(key, run_outcome::past_deadline, now);
            continue;
        }
        if (rank_of(key, r, now) != rank)
        {
            queue_.erase(next);
            enqueue(key, r, now);
            next = queue_.begin();
            continue;
        }
        if (hooks_.may_start && !hooks_.may_start(key.first))
        {
            ++next;
            continue;
        }
        const bool must_wait = !unknown_runs_.empty() || isolated_runs_ > 0 ||
                               (r.order.isolated && !started_runs_.empty());
        if (must_wait || !capacity_.can_fit(used_ + r.task_resources) ||
            was_refused(used_ + r.task_resources, now))
        {
            return;
        }
        next = queue_.erase(next);
        start_run(key, r, now);
    }
}

bool run_scheduler::was_refused(const resources& use, time_point now) const
{
    return refusal_ && now < refusal_->until &&
           (use == refusal_->use || !refusal_->use.can_fit(use));
}

void run_scheduler::on_capacity_refusal(const order_record& r, time_point now)
{
    if (refusal_ && now < refusal_->until)
    {
        // Of several starts that were under way at once.
        refusal_->use = used_;
        return;
    }
    const auto pause = refusal_
                           ? std::min(2 * refusal_->pause, max_refusal_pause)
                           : first_refusal_pause;
    refusal_ = capacity_refusal{used_, now + pause, pause};
    log(log_level::warning, r,
        "target refused the start for lack of capacity with " +
            std::to_string(used_.cpu_millis) +
            " thousandths of a core in use, announced " +
            std::to_string(capacity_.cpu_millis) +
            "; no start to this use for " + to_ms_text(pause));
}

duration run_scheduler::expected_run(const order_record& r,
                                     time_point now) const
{
    duration run(r.order.expected_us);
    if (speed_.is_learned() && r.order.reference_us > 0)
    {
        // An entry raises expected_us after each stall of the task, only so
        // that the next run is not stopped too early.
        run = std::min(
            run, scale(duration(r.order.reference_us), 1 / speed_.speed()));
    }
    return scale(run, slowdown(now));
}

bool run_scheduler::is_overdue_wait(const order_record& r, duration wait,
                                    time_point now) const
{
    if (!waits_near_data(r))
    {
        return false;
    }
    // A slowed target delays the end as a later start would.
    const auto delay = scale(duration(r.order.expected_us), slowdown(now)) -
                       duration(r.order.expected_us);
    return now + wait + delay > r.received + duration(r.order.max_wait_us);
}

void run_scheduler::return_queued(time_point now)
{
    if (queue_.empty())
    {
        return;
    }
    start_estimator starts(capacity_);
    for (const auto& [id, key] : started_runs_)
    {
        const auto& r = orders_.at(key);
        const auto left = r.started + expected_run(r, now) - now;
        starts.add_started(
            {r.task_resources, std::max(left, duration(0)), r.order.isolated});
    }
    struct returned_order
    {
        order_key key;
        order_fate fate;
        duration wait;
    };
    std::vector<returned_order> returned;
    std::vector<order_key> unstartable;
    for (const auto& rank : queue_)
    {
        const auto& key = std::get<order_key>(rank);
        const auto& r = orders_.at(key);
        const queued_work work{r.task_resources, expected_run(r, now),
                               r.order.isolated};
        queued_order_input input;
        input.wait = starts.start_of(work);
        input.run = work.run;
        input.to_objective = r.objective - now;
        input.to_useful_end = r.useful_until - now;
        input.to_deadline = r.deadline - now;
        input.keep = r.order.keep || r.order.isolated;
        if (!capacity_.can_fit(r.task_resources))
        {
            // The capacity has shrunk since the order was sent.
            log(log_level::info, r,
                "order needs " + std::to_string(r.task_resources.cpu_millis) +
                    " thousandths of a core, capacity is " +
                    std::to_string(capacity_.cpu_millis));
            unstartable.push_back(key);
            continue;
        }
        if (is_overdue_wait(r, input.wait, now))
        {
            log(log_level::info, r,
                "order waited " + to_ms_text(now - r.received) +
                    " near its data and is expected to wait for another " +
                    to_ms_text(input.wait) + ", granted " +
                    to_ms_text(duration(r.order.max_wait_us)) +
                    ", slowdown factor " + std::to_string(slowdown(now)));
            unstartable.push_back(key);
            continue;
        }
        const auto fate = decide_queued_order(input, options_.returns);
        if (fate == order_fate::wait)
        {
            starts.add(work);
            continue;
        }
        log(log_level::info, r,
            std::string(fate == order_fate::return_late
                            ? "order would end after its objective here"
                        : fate == order_fate::drop_useless
                            ? "order cannot end while its answer is useful"
                            : "order cannot finish before its deadline") +
                "; expected wait " + to_ms_text(input.wait) +
                ", expected run time " + to_ms_text(input.run) +
                ", time to objective " + to_ms_text(input.to_objective) +
                ", useful for " + to_ms_text(input.to_useful_end) +
                ", time to deadline " + to_ms_text(input.to_deadline) +
                ", slowdown factor " + std::to_string(slowdown(now)));
        returned.push_back({key, fate, input.wait});
    }
    for (const auto& it : unstartable)
    {
        finish(it, run_outcome::not_run, now);
    }
    for (const auto& it : returned)
    {
        const bool late = it.fate == order_fate::return_late;
        ++(late                                  ? counts_.returned_early
           : it.fate == order_fate::drop_useless ? counts_.dropped_useless
                                                 : counts_.infeasible);
        orders_.at(it.key).expected_wait = it.wait;
        finish(it.key,
               late ? run_outcome::returned : run_outcome::past_deadline, now);
    }
}

} // namespace agatebank
