#include <agatebank/entry/job_service.hpp>

#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_wait = "job.wait";
constexpr const char* step_run = "task.run";
constexpr const char* step_cancel = "job.cancel";
/// Time for which agents retain the answers of a settled job that no caller
/// has been sent. Another entry can gather them within it if this entry fails.
constexpr duration agent_retention = std::chrono::seconds(30);
/// Time for which agents retain the answers after they were sent to a caller.
/// Not zero, as the response may be lost on its way.
constexpr duration agent_retention_after_delivery = std::chrono::seconds(5);
/// Interval of periodic dispatching while tasks wait, and minimum interval
/// between two evaluations of the demand on all agents.
constexpr duration dispatch_period = std::chrono::milliseconds(10);

job_request to_request(const submitted_job& job, job_key key)
{
    job_request rq;
    rq.key = key;
    rq.service = job.service.name;
    rq.caller = job.caller;
    rq.wait = job.patience.wait;
    rq.never_delay = job.service.never_delay;
    rq.idempotent = job.document.idempotent;
    for (const auto& it : job.document.tasks)
    {
        rq.tasks.push_back({it.declared_run_time});
    }
    return rq;
}

price promised_price(const submitted_job& job)
{
    return price(job.patience.price_per_task.value() *
                 static_cast<int64_t>(job.document.tasks.size()));
}

errc to_error(const start_report& report)
{
    if (report.error != 0)
    {
        return static_cast<errc>(report.error);
    }
    return report.kind == report_kind::timed_out ? errc::target_timeout
                                                 : errc::target_failed;
}

// A connection that ends without a whole answer is the sign of a crash.
task_outcome to_outcome(const start_report& report)
{
    if (report.kind == report_kind::failed &&
        to_error(report) == errc::target_answer_partial)
    {
        return task_outcome::target_lost;
    }
    switch (report.kind)
    {
    case report_kind::answered:
        return task_outcome::answered;
    case report_kind::timed_out:
        return task_outcome::timed_out;
    default:
        return task_outcome::failed;
    }
}

} // namespace

job_service::job_service(event_loop& loop, timer_queue& timers,
                         dispatcher& job_dispatcher, agent_directory& agents,
                         event_ring& events, job_settled_handler on_settled)
    : loop_(loop)
    , timers_(timers)
    , dispatcher_(job_dispatcher)
    , agents_(agents)
    , events_(events)
    , on_settled_(std::move(on_settled))
{
}

// jobs

admission job_service::submit(submitted_job submitted)
{
    const auto now = loop_.now();
    const job_key key(++last_key_);
    const auto decision = dispatcher_.admit(to_request(submitted, key), now);
    if (decision.refusal)
    {
        ++counts_.refused;
        record(event_kind::job_refused, submitted.submission,
               decision.refusal.message());
        return decision;
    }
    ++counts_.admitted;
    record(event_kind::job_admitted, submitted.submission,
           submitted.patience.name.value());
    const auto id = submitted.submission;
    job j;
    j.admitted = now;
    j.answers.resize(submitted.document.tasks.size());
    j.submitted = std::move(submitted);
    j.deadline = timers_.schedule(
        decision.deadline - now,
        [this, key] {
            fail_job(key, {errc::wait_exceeded, step_wait, {}, {}});
        });
    jobs_.emplace(key, std::move(j));
    keys_[id] = key;
    schedule_dispatch();
    return decision;
}

void job_service::cancel(const submission_id& id)
{
    const auto it = keys_.find(id);
    if (it == keys_.end())
    {
        return;
    }
    ++counts_.cancelled;
    record(event_kind::job_cancelled, id, {});
    fail_job(it->second, {errc::cancelled, step_cancel, {}, {}});
}

void job_service::mark_delivered(const submission_id& id)
{
    const auto it = settled_starts_.find(id);
    if (it == settled_starts_.end() || it->second.delivered)
    {
        return;
    }
    it->second.delivered = true;
    timers_.cancel(it->second.release_timer);
    it->second.release_timer = timers_.schedule(agent_retention_after_delivery,
                                                [this, id] { release(id); });
}

// policy weights

void job_service::set_weights(const policy_weights& weights)
{
    waste_weight_ = weights.waste;
    demand_reporters_.clear();
    dispatcher_.set_weights(weights);
}

// agents

void job_service::offer(const target_offer& offer)
{
    dispatcher_.put_target(offer, loop_.now());
    schedule_dispatch();
}

void job_service::withdraw(agent_incarnation agent)
{
    demand_reporters_.erase(agent);
    dispatcher_.set_grant(agent, 0);
}

void job_service::on_grant(agent_incarnation agent, uint32_t credits)
{
    dispatcher_.set_grant(agent, credits);
    schedule_dispatch();
}

void job_service::on_report(agent_incarnation agent, task_ref task,
                            const start_report& report)
{
    const auto now = loop_.now();
    const auto it = jobs_.find(task.job);
    if (it != jobs_.end())
    {
        ++it->second.messages;
        it->second.in_flight.erase(task);
    }
    if (report.kind == report_kind::not_run)
    {
        ++counts_.not_run_reports;
        if (it != jobs_.end())
        {
            ++it->second.not_run;
        }
        dispatcher_.on_not_run(task, agent, now);
    }
    else
    {
        dispatcher_.on_outcome(task, agent, to_outcome(report),
                               duration(report.run_time_us), now);
        if (it != jobs_.end())
        {
            record_result(task.job, task, report);
        }
    }
    schedule_dispatch();
}

void job_service::record_result(job_key key, task_ref task,
                                const start_report& report)
{
    auto& j = jobs_.at(key);
    if (report.kind != report_kind::answered)
    {
        fail_job(key, {to_error(report),
                       report.step.empty() ? step_run : report.step,
                       {},
                       "task " + std::to_string(task.task.value())});
        return;
    }
    auto& slot = j.answers.at(task.task.value());
    if (!slot)
    {
        slot = report.body;
        ++j.answered;
    }
    if (j.answered == j.answers.size())
    {
        complete_job(key);
    }
}

void job_service::on_lost(agent_incarnation agent)
{
    const auto* record = agents_.find(agent);
    const std::string peer = record == nullptr ? "" : record->self.name;
    demand_reporters_.erase(agent);
    for (const auto& task : dispatcher_.remove_target(agent))
    {
        if (jobs_.count(task.job) != 0)
        {
            fail_job(task.job, {errc::agent_lost, step_run, peer,
                                "task " + std::to_string(task.task.value())});
        }
    }
    schedule_dispatch();
}

// dispatching

void job_service::schedule_dispatch()
{
    if (dispatch_pending_)
    {
        return;
    }
    dispatch_pending_ = true;
    loop_.defer(
        [this]
        {
            dispatch_pending_ = false;
            dispatch();
        });
}

void job_service::dispatch()
{
    for (const auto& it : dispatcher_.assign(loop_.now()))
    {
        start(it);
    }
    agents_.flush();
    const auto now = loop_.now();
    const bool evaluation_due = now - demands_evaluated_at_ >= dispatch_period;
    if (evaluation_due)
    {
        demands_evaluated_at_ = now;
        send_demands();
    }
    if (!evaluation_due || decrease_pending_ || dispatcher_.waiting_tasks() > 0)
    {
        schedule_delayed_dispatch();
    }
}

void job_service::schedule_delayed_dispatch()
{
    if (delayed_dispatch_pending_)
    {
        return;
    }
    delayed_dispatch_pending_ = true;
    timers_.schedule(dispatch_period,
                     [this]
                     {
                         delayed_dispatch_pending_ = false;
                         dispatch();
                     });
}

void job_service::start(const assignment& a)
{
    auto& j = jobs_.at(a.task.job);
    start_order order;
    order.submission = j.submitted.submission;
    order.task = a.task.task;
    order.job_tasks = static_cast<uint32_t>(j.answers.size());
    order.patience = j.submitted.patience.name;
    order.job_price = promised_price(j.submitted);
    order.service = j.submitted.service.name;
    order.idempotent = j.submitted.document.idempotent;
    order.payload = j.submitted.document.tasks.at(a.task.task.value()).payload;
    const auto ref = agents_.start(a, std::move(order));
    j.sent.push_back(ref);
    j.in_flight.insert_or_assign(a.task, ref);
    ++j.starts;
    ++j.messages;
    ++counts_.starts;
}

void job_service::send_demands()
{
    const auto now = loop_.now();
    decrease_pending_ = false;
    for (const auto agent : agents_.connected())
    {
        const auto demand = dispatcher_.demand(agent, now);
        const auto& grant = agents_.find(agent)->grant;
        auto& reporter =
            demand_reporters_.try_emplace(agent, waste_weight_).first->second;
        if (!reporter.should_send(demand, grant, now))
        {
            decrease_pending_ |= reporter.owes_decrease(demand);
            continue;
        }
        demand_update update;
        update.queued = demand.queued;
        update.in_flight = demand.in_flight;
        update.min_slack_us = demand.least_slack.count();
        update.grant_version = grant.version;
        agents_.send(agent, update);
    }
}

// settlement

execution_status job_service::execution_status_of(const job& j) const
{
    return j.starts == j.not_run ? execution_status::not_run
                                 : execution_status::may_have_run;
}

void job_service::fail_job(job_key key, failure reason)
{
    const auto it = jobs_.find(key);
    if (it == jobs_.end())
    {
        return;
    }
    ++counts_.failed;
    auto& j = it->second;
    dispatcher_.remove_job(key);
    std::vector<start_ref> unanswered;
    for (const auto& in_flight : j.in_flight)
    {
        unanswered.push_back(in_flight.second);
    }
    agents_.cancel(unanswered);
    job_settlement s;
    s.status = execution_status_of(j);
    s.reason = std::move(reason);
    settle(key, std::move(s));
}

void job_service::complete_job(job_key key)
{
    ++counts_.complete;
    auto& j = jobs_.at(key);
    dispatcher_.remove_job(key);
    job_settlement s;
    s.complete = true;
    s.status = execution_status::ran;
    s.charged = promised_price(j.submitted);
    for (auto& it : j.answers)
    {
        s.answers.push_back(std::move(*it));
    }
    settle(key, std::move(s));
}

void job_service::settle(job_key key, job_settlement settlement)
{
    auto node = jobs_.extract(key);
    auto& j = node.mapped();
    const auto id = j.submitted.submission;
    timers_.cancel(j.deadline);
    keys_.erase(id);
    settlement.patience = j.submitted.patience.name;
    settlement.response_time = loop_.now() - j.admitted;
    settlement.messages = j.messages;
    record(event_kind::job_settled, id,
           settlement.complete ? "complete" : settlement.reason.to_string());
    settled_starts_[id] = {
        std::move(j.sent),
        timers_.schedule(agent_retention, [this, id] { release(id); })};
    on_settled_(id, settlement);
    schedule_dispatch();
}

void job_service::release(const submission_id& id)
{
    auto node = settled_starts_.extract(id);
    if (node.empty())
    {
        return;
    }
    timers_.cancel(node.mapped().release_timer);
    for (const auto& it : node.mapped().starts)
    {
        agents_.release(it);
    }
}

// lookup

bool job_service::is_running(const submission_id& id) const
{
    return keys_.count(id) != 0;
}

std::size_t job_service::running_jobs() const noexcept
{
    return jobs_.size();
}

const job_counts& job_service::counts() const noexcept
{
    return counts_;
}

std::size_t job_service::waiting_tasks(const caller_name& caller) const
{
    return dispatcher_.waiting_tasks(caller);
}

void job_service::record(event_kind kind, const submission_id& id,
                         const std::string& detail)
{
    event e;
    e.kind = kind;
    e.submission = to_name(id);
    e.detail = detail;
    events_.record(std::move(e));
}

} // namespace agatebank
