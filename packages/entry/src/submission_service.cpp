#include <agatebank/entry/submission_service.hpp>
#include <agatebank/http/bearer_token.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_submit = "submission.submit";
constexpr const char* step_admit = "job.admit";
constexpr const char* step_show = "submission.show";

unsigned status_of(errc e)
{
    switch (e)
    {
    case errc::request_malformed:
        return 400;
    case errc::too_many_tasks:
    case errc::service_unknown:
    case errc::patience_unknown:
    case errc::needs_unmeetable:
        return 422;
    case errc::forbidden:
        return 403;
    case errc::wait_unattainable:
    case errc::process_leaving:
    case errc::not_ready:
        return 503;
    case errc::quota_exceeded:
        return 429;
    default:
        return 500;
    }
}

http_response running_response(const std::string& id_text)
{
    return json_response(202, {{"submission", id_text}, {"state", "running"}});
}

// Rounds up to whole seconds, at least 1, as the Retry-After header is given
// in whole seconds (RFC 9110).
std::string to_retry_after(duration d)
{
    const auto s = std::chrono::ceil<std::chrono::seconds>(d).count();
    return std::to_string(std::max<int64_t>(1, s));
}

} // namespace

http_response refusal_response(unsigned status, const failure& f)
{
    return problem_response(status, f, execution_status::not_run);
}

submission_service::submission_service(event_loop& loop, timer_queue& timers,
                                       entry_incarnation self,
                                       submission_id_codec codec,
                                       job_rules_lookup find_rules,
                                       submission_limits limits)
    : loop_(loop)
    , timers_(timers)
    , self_(self)
    , codec_(std::move(codec))
    , find_rules_(std::move(find_rules))
    , limits_(limits)
    , started_(loop.now())
{
}

void submission_service::set_jobs(job_service& jobs)
{
    jobs_ = &jobs;
}

std::chrono::seconds submission_service::uptime() const
{
    return std::chrono::floor<std::chrono::seconds>(loop_.now() - started_);
}

std::string submission_service::issue(const caller_name& caller)
{
    submission_id id;
    id.issuer = self_;
    id.sequence = submission_sequence(++last_sequence_);
    id.expiry = uptime() + limits_.validity;
    return codec_.encode(id, caller);
}

// submit

void submission_service::submit(const submission_id& id,
                                const std::string& id_text,
                                const caller_name& caller,
                                const std::string& body, duration wait,
                                http_responder respond)
{
    const auto it = records_.find(id);
    if (it == records_.end())
    {
        admit_job(id, id_text, caller, body, wait, std::move(respond));
        return;
    }
    if (it->second.body_digest != sha256_hex(body))
    {
        // The response states whether the first body may have run: a caller
        // that serialized the same job in another way must not conclude that
        // it did not run.
        const auto& r = it->second;
        respond(problem_response(
            409, {errc::submission_body_differs, step_submit, {}, id_text},
            r.settled ? r.status : execution_status::may_have_run));
        return;
    }
    wait_for(id, it->second, wait, std::move(respond));
}

void submission_service::admit_job(const submission_id& id,
                                   const std::string& id_text,
                                   const caller_name& caller,
                                   const std::string& body, duration wait,
                                   http_responder respond)
{
    if (uptime() >= id.expiry)
    {
        // The id may have had a record that was dropped since, so its job
        // may have run.
        respond(problem_response(
            410, {errc::submission_expired, step_submit, {}, id_text},
            execution_status::may_have_run));
        return;
    }
    if (refusing_new_jobs_ || records_.size() >= limits_.max_records)
    {
        auto r =
            refusal_response(503, {errc::process_leaving, step_submit, {}, {}});
        r.headers.push_back({"Retry-After", "1"});
        respond(r);
        return;
    }
    auto job = parse_job(body, limits_.job);
    if (!job)
    {
        respond(refusal_response(
            status_of(static_cast<errc>(job.error().code.value())),
            job.error()));
        return;
    }
    const auto rules = find_rules_(caller, *job);
    if (!rules)
    {
        respond(refusal_response(
            status_of(static_cast<errc>(rules.error().code.value())),
            rules.error()));
        return;
    }
    const auto decision = jobs_->submit(
        {id, caller, std::move(*job), rules->patience, rules->service});
    if (decision.refusal)
    {
        auto r = refusal_response(
            status_of(static_cast<errc>(decision.refusal.value())),
            {decision.refusal, step_admit, {}, {}});
        r.headers.push_back(
            {"Retry-After", to_retry_after(decision.retry_after)});
        respond(r);
        return;
    }
    auto& r = records_[id];
    r.id_text = id_text;
    r.body_digest = sha256_hex(body);
    wait_for(id, r, wait, std::move(respond));
}

void submission_service::wait_for(const submission_id& id, record& r,
                                  duration wait, http_responder respond)
{
    if (r.settled)
    {
        respond_settled(id, r, respond);
        return;
    }
    if (wait <= duration::zero())
    {
        respond(running_response(r.id_text));
        return;
    }
    const auto number = ++last_waiter_;
    const auto timeout = timers_.schedule(
        wait,
        [this, id, number]
        {
            auto& rec = records_.at(id);
            const auto node = rec.waiters.extract(number);
            --waiting_callers_;
            node.mapped().respond(running_response(rec.id_text));
        });
    r.waiters.emplace(number, waiter{std::move(respond), timeout});
    ++waiting_callers_;
}

// show and cancel

void submission_service::show(const submission_id& id,
                              const std::string& id_text, duration wait,
                              http_responder respond)
{
    const auto it = records_.find(id);
    if (it != records_.end())
    {
        wait_for(id, it->second, wait, std::move(respond));
        return;
    }
    (void)id_text;
    respond_unknown(id, respond);
}

void submission_service::cancel(const submission_id& id,
                                const std::string& id_text,
                                http_responder respond)
{
    jobs_->cancel(id);
    show(id, id_text, duration::zero(), std::move(respond));
}

void submission_service::respond_unknown(const submission_id& id,
                                         const http_responder& respond) const
{
    if (uptime() >= id.expiry)
    {
        respond(problem_response(410,
                                 {errc::submission_expired, step_show, {}, {}},
                                 execution_status::may_have_run));
        return;
    }
    respond(refusal_response(404, {errc::not_found,
                                   step_show,
                                   {},
                                   "no job has been admitted under this id"}));
}

// settlement

void submission_service::on_settled(const submission_id& id,
                                    const job_settlement& settlement)
{
    auto& r = records_.at(id);
    r.settled = true;
    r.status = settlement.status;
    r.response = to_json(settlement, r.id_text).dump();
    answer_bytes_ += r.response.size();
    settled_order_.push_back(id);
    for (auto& [number, w] : std::exchange(r.waiters, {}))
    {
        timers_.cancel(w.timeout);
        --waiting_callers_;
        respond_settled(id, r, w.respond);
    }
    timers_.schedule(limits_.answer_retention, [this, id] { drop_answer(id); });
    while (answer_bytes_ > limits_.max_answer_bytes)
    {
        drop_answer(settled_order_.front());
    }
}

void submission_service::respond_settled(const submission_id& id,
                                         const record& r,
                                         const http_responder& respond)
{
    if (r.answer_dropped)
    {
        respond(problem_response(410,
                                 {errc::submission_expired,
                                  step_show,
                                  {},
                                  "the answer is no longer stored"},
                                 r.status));
        return;
    }
    http_response out;
    out.content_type = "application/json";
    out.body = r.response;
    respond(out);
    jobs_->mark_delivered(id);
}

void submission_service::drop_answer(const submission_id& id)
{
    const auto it = records_.find(id);
    if (it == records_.end() || it->second.answer_dropped)
    {
        return;
    }
    auto& r = it->second;
    r.answer_dropped = true;
    answer_bytes_ -= r.response.size();
    r.response = {};
    while (!settled_order_.empty())
    {
        const auto front = records_.find(settled_order_.front());
        if (front != records_.end() && !front->second.answer_dropped)
        {
            break;
        }
        settled_order_.pop_front();
    }
    // The record stays until the id has expired: without it the id could
    // start a second job.
    const auto remaining = id.expiry - uptime() + std::chrono::seconds(1);
    timers_.schedule(std::max<duration>(remaining, duration::zero()),
                     [this, id] { drop_record(id); });
}

void submission_service::drop_record(const submission_id& id)
{
    records_.erase(id);
}

void submission_service::refuse_new_jobs()
{
    refusing_new_jobs_ = true;
}

const submission_limits& submission_service::limits() const noexcept
{
    return limits_;
}

std::size_t submission_service::records() const noexcept
{
    return records_.size();
}

std::size_t submission_service::waiting_callers() const noexcept
{
    return waiting_callers_;
}

} // namespace agatebank
