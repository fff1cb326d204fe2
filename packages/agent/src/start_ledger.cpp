#include <agatebank/agent/start_ledger.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

constexpr start_refusal wrong_incarnation{errc::start_wrong_incarnation,
                                          "agent.judge"};
constexpr start_refusal below_floor{errc::start_stale, "agent.judge"};
constexpr start_refusal past_deadline{errc::start_past_deadline, "agent.judge"};
constexpr start_refusal issuer_lost{errc::entry_lost, "agent.gather"};
constexpr start_refusal cancelled{errc::cancelled, "agent.cancel"};

} // namespace

const char* to_word(start_verdict verdict) noexcept
{
    switch (verdict)
    {
    case start_verdict::accepted:
        return "accepted";
    case start_verdict::known:
        return "known";
    case start_verdict::refused:
        return "refused";
    case start_verdict::stale:
        return "stale";
    case start_verdict::misplaced:
        return "misplaced";
    case start_verdict::ignored:
        return "ignored";
    }
    return "";
}

start_ledger::start_ledger(agent_incarnation self, std::size_t max_records)
    : self_(self), max_records_(max_records)
{
}

// starts

start_verdict start_ledger::decide(const start_order& order, int64_t now_us,
                                   const start_refusal* refusal)
{
    if (order.agent != self_)
    {
        report_unrecorded(order.sequence, report_kind::not_run,
                          wrong_incarnation);
        return start_verdict::misplaced;
    }
    if (order.sequence < acknowledged_below_)
    {
        // The start may have run before it was acknowledged. Reporting it as
        // not run would let the entry run the task a second time.
        report_unrecorded(order.sequence, report_kind::failed, below_floor);
        return start_verdict::stale;
    }
    const auto existing = records_.find(order.sequence);
    if (existing != records_.end())
    {
        mark_unsent(existing->first, existing->second);
        return start_verdict::known;
    }
    if (records_.size() >= max_records_)
    {
        return start_verdict::ignored;
    }
    next_sequence_ =
        std::max(next_sequence_, start_sequence(order.sequence.value() + 1));
    auto& r = records_[order.sequence];
    r.submission = order.submission;
    r.patience = order.patience;
    r.job_price = order.job_price;
    r.task = order.task;
    r.job_tasks = order.job_tasks;
    ++queued_;
    if (const auto* why = refusal_for(order, now_us, refusal))
    {
        refuse(order.sequence, r, *why);
        return start_verdict::refused;
    }
    return start_verdict::accepted;
}

const start_refusal*
start_ledger::refusal_for(const start_order& order, int64_t now_us,
                          const start_refusal* refusal) const
{
    if (fenced_submissions_.count(order.submission) != 0)
    {
        return &issuer_lost;
    }
    if (order.deadline_us != 0 && order.deadline_us <= now_us)
    {
        return &past_deadline;
    }
    return refusal;
}

bool start_ledger::begin(start_sequence sequence)
{
    const auto it = records_.find(sequence);
    if (it == records_.end() || it->second.state != start_state::queued)
    {
        return false;
    }
    it->second.state = start_state::running;
    --queued_;
    ++running_;
    return true;
}

void start_ledger::finish(start_sequence sequence, run_result result)
{
    const auto it = records_.find(sequence);
    if (it == records_.end() || it->second.state != start_state::running)
    {
        return;
    }
    --running_;
    if (sequence < acknowledged_below_)
    {
        records_.erase(it);
        return;
    }
    auto& r = it->second;
    r.state = start_state::reported;
    r.kind = result.kind;
    r.error = result.kind == report_kind::answered
                  ? 0
                  : static_cast<int32_t>(result.error);
    r.step = result.step;
    r.run_time_us = result.run_time.count();
    r.body = std::move(result.body);
    mark_unsent(sequence, r);
}

bool start_ledger::refuse_queued(start_sequence sequence,
                                 const start_refusal& why)
{
    const auto it = records_.find(sequence);
    if (it == records_.end() || it->second.state != start_state::queued)
    {
        return false;
    }
    refuse(sequence, it->second, why);
    return true;
}

void start_ledger::cancel(start_sequence sequence)
{
    if (sequence < acknowledged_below_)
    {
        return;
    }
    auto it = records_.find(sequence);
    if (it == records_.end())
    {
        if (records_.size() >= max_records_)
        {
            return;
        }
        // The order may arrive after its cancellation, so a record is made
        // that refuses it.
        next_sequence_ =
            std::max(next_sequence_, start_sequence(sequence.value() + 1));
        it = records_.emplace(sequence, record{}).first;
        ++queued_;
    }
    if (it->second.state == start_state::queued)
    {
        refuse(sequence, it->second, cancelled);
        return;
    }
    mark_unsent(sequence, it->second);
}

void start_ledger::acknowledge(start_sequence below)
{
    acknowledged_below_ = std::max(acknowledged_below_, below);
    next_sequence_ = std::max(next_sequence_, acknowledged_below_);
    auto it = records_.begin();
    while (it != records_.end() && it->first < acknowledged_below_)
    {
        if (it->second.state == start_state::running)
        {
            ++it;
            continue;
        }
        queued_ -= it->second.state == start_state::queued ? 1 : 0;
        it = records_.erase(it);
    }
}

void start_ledger::refuse(start_sequence sequence, record& r,
                          const start_refusal& why)
{
    --queued_;
    r.state = start_state::reported;
    r.kind = report_kind::not_run;
    r.error = static_cast<int32_t>(why.code);
    r.step = why.step;
    mark_unsent(sequence, r);
}

// gathering

gathered_starts start_ledger::gather(const submission_id& submission,
                                     std::size_t max_bytes)
{
    fenced_submissions_.insert(submission);
    gathered_starts out;
    std::size_t bytes = 0;
    for (auto& [sequence, r] : records_)
    {
        if (r.submission != submission)
        {
            continue;
        }
        if (r.state == start_state::queued)
        {
            refuse(sequence, r, issuer_lost);
        }
        if (r.state == start_state::running)
        {
            ++out.running;
            continue;
        }
        bytes += r.body.size();
        if (bytes > max_bytes)
        {
            continue;
        }
        out.reported.push_back({r.task, r.job_tasks, r.patience, r.job_price,
                                to_report(sequence, r)});
    }
    return out;
}

void start_ledger::unfence(const submission_id& submission)
{
    fenced_submissions_.erase(submission);
}

// reports

void start_ledger::report_unrecorded(start_sequence sequence, report_kind kind,
                                     const start_refusal& why)
{
    start_report report;
    report.sequence = sequence;
    report.kind = kind;
    report.error = static_cast<int32_t>(why.code);
    report.step = why.step;
    unrecorded_.push_back(std::move(report));
}

void start_ledger::mark_unsent(start_sequence sequence, record& r)
{
    if (r.state == start_state::reported && !r.unsent)
    {
        r.unsent = true;
        unsent_.push_back(sequence);
    }
}

start_report start_ledger::to_report(start_sequence sequence, const record& r)
{
    return {sequence, r.kind, r.error, r.run_time_us, r.step, r.body};
}

std::vector<start_report> start_ledger::take_reports(std::size_t max_bytes)
{
    auto out = std::exchange(unrecorded_, {});
    std::size_t bytes = 0;
    std::size_t taken = 0;
    while (taken < unsent_.size() && (bytes < max_bytes || out.empty()))
    {
        const auto it = records_.find(unsent_[taken++]);
        if (it == records_.end())
        {
            continue;
        }
        it->second.unsent = false;
        bytes += it->second.body.size();
        out.push_back(to_report(it->first, it->second));
    }
    unsent_.erase(unsent_.begin(),
                  unsent_.begin() + static_cast<std::ptrdiff_t>(taken));
    return out;
}

void start_ledger::resend_all()
{
    for (auto& [sequence, r] : records_)
    {
        mark_unsent(sequence, r);
    }
}

bool start_ledger::has_reports() const noexcept
{
    return !unsent_.empty() || !unrecorded_.empty();
}

// lookup

bool start_ledger::is_queued(start_sequence sequence) const
{
    const auto it = records_.find(sequence);
    return it != records_.end() && it->second.state == start_state::queued;
}

std::size_t start_ledger::size() const noexcept
{
    return records_.size();
}

std::size_t start_ledger::queued() const noexcept
{
    return queued_;
}

std::size_t start_ledger::running() const noexcept
{
    return running_;
}

std::size_t start_ledger::unacknowledged() const noexcept
{
    return records_.size() - queued_ - running_;
}

start_sequence start_ledger::acknowledged_below() const noexcept
{
    return acknowledged_below_;
}

start_sequence start_ledger::next_sequence() const noexcept
{
    return next_sequence_;
}

std::size_t start_ledger::fenced_submissions() const noexcept
{
    return fenced_submissions_.size();
}

std::vector<start_sequence> start_ledger::queued_starts() const
{
    std::vector<start_sequence> out;
    for (const auto& [sequence, r] : records_)
    {
        if (r.state == start_state::queued)
        {
            out.push_back(sequence);
        }
    }
    return out;
}

} // namespace agatebank
