#include "demo_run.hpp"

#include <agatebank/harness/run_until.hpp>

#include <algorithm>
#include <stdexcept>

namespace agatebank
{

namespace
{

constexpr auto caller_wait = std::chrono::seconds(30);
constexpr auto run_timeout = std::chrono::seconds(50);
constexpr auto progress_period = std::chrono::seconds(1);
constexpr auto during_run_delay = std::chrono::milliseconds(60);
constexpr unsigned ids_per_call = 500;

} // namespace

demo_run::demo_run(event_loop& loop, cluster& nodes, const demo_plan& plan)
    : loop_(loop), nodes_(nodes), plan_(plan), outcomes_(plan.jobs.size())
{
    for (const auto& token : plan.caller_tokens)
    {
        callers_.push_back(std::make_unique<job_caller>(loop, token));
    }
}

// Reserves submission ids in batches for each pair of caller and entry, so that
// no reservation is made during the load.
void demo_run::reserve_ids()
{
    std::map<std::pair<std::size_t, std::size_t>, std::vector<std::string>>
        available_ids;
    for (std::size_t i = 0; i < plan_.jobs.size(); ++i)
    {
        const auto& p = plan_.jobs[i];
        auto& ids = available_ids[{p.caller, p.entry}];
        if (ids.empty())
        {
            ids = callers_[p.caller]->reserve(nodes_.entry_url(p.entry),
                                              ids_per_call);
        }
        if (ids.empty())
        {
            throw std::runtime_error("cannot reserve submission ids");
        }
        outcomes_[i].planned = &p;
        outcomes_[i].submission = ids.back();
        ids.pop_back();
    }
}

void demo_run::run(std::ostream& progress)
{
    reserve_ids();
    started_ = loop_.now();
    pending_ = plan_.jobs.size();
    for (std::size_t i = 0; i < plan_.jobs.size(); ++i)
    {
        timers_.push_back(
            loop_.after(plan_.jobs[i].at, [this, i] { submit_job(i); }));
    }
    const auto ticker = loop_.every(progress_period, [this, &progress]
                                    { print_progress(progress); });
    const bool done =
        run_until(loop_, run_timeout, [this] { return pending_ == 0; });
    print_progress(progress);
    if (!done)
    {
        throw std::runtime_error(std::to_string(pending_) +
                                 " replies did not arrive");
    }
}

void demo_run::submit_job(std::size_t i)
{
    const auto& p = plan_.jobs[i];
    ++submitted_;
    send(i, p.entry, true);
    if (p.resubmitted == resubmission::same_moment)
    {
        ++pending_;
        send(i, p.resubmission_entry, false);
    }
    if (p.resubmitted == resubmission::during_run)
    {
        ++pending_;
        timers_.push_back(loop_.after(during_run_delay,
                                      [this, i, entry = p.resubmission_entry]
                                      { send(i, entry, false); }));
    }
}

void demo_run::send(std::size_t i, std::size_t entry, bool first)
{
    const auto& p = plan_.jobs[i];
    callers_[p.caller]->submit(
        nodes_.entry_url(entry), outcomes_[i].submission, p.job, caller_wait,
        [this, i, first](const caller_reply& r) { on_reply(i, r, first); });
}

void demo_run::on_reply(std::size_t i, const caller_reply& reply, bool first)
{
    auto& o = outcomes_[i];
    --pending_;
    judge_.saw(o.submission, o.planned->job, reply);
    if (!o.settled)
    {
        o.settled = true;
        o.reply = reply;
        o.response_ms =
            static_cast<double>(reply.got_us - reply.sent_us) / 1000.0;
    }
    if (first && o.planned->resubmitted == resubmission::after_answer)
    {
        ++pending_;
        send(i, o.planned->resubmission_entry, false);
    }
}

void demo_run::print_progress(std::ostream& out) const
{
    const auto count = [this](const std::string& state)
    {
        return std::count_if(outcomes_.begin(), outcomes_.end(),
                             [&](const job_outcome& o)
                             { return o.settled && o.reply.state == state; });
    };
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        loop_.now() - started_);
    out << seconds.count() << " s: " << submitted_ << " submitted, "
        << count("complete") << " complete, " << count("failed") << " failed, "
        << count("") << " refused" << std::endl;
}

const std::vector<job_outcome>& demo_run::outcomes() const noexcept
{
    return outcomes_;
}

const judge& demo_run::reply_judge() const noexcept
{
    return judge_;
}

} // namespace agatebank
