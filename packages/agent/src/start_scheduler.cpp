#include <agatebank/agent/start_scheduler.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

constexpr start_refusal no_slot{errc::start_refused, "agent.slots"};
constexpr start_refusal foreign_submission{errc::submission_refused,
                                           "agent.judge"};
constexpr start_refusal expired_in_queue{errc::start_past_deadline,
                                         "agent.queue"};
constexpr start_refusal issuing_entry_lost{errc::entry_lost, "agent.queue"};

} // namespace

start_scheduler::start_scheduler(agent_incarnation self,
                                 const agent_limits& limits)
    : self_(self), limits_(limits)
{
}

void start_scheduler::set_capacity(uint32_t slots, uint32_t queue_allowance)
{
    slots_ = slots;
    queue_allowance_ = queue_allowance;
}

// starts

start_verdict start_scheduler::on_order(entry_incarnation entry,
                                        start_order order, int64_t now_us,
                                        const admission_check& check)
{
    const start_refusal* refusal = check(order);
    if (order.submission.issuer != entry)
    {
        refusal = &foreign_submission;
    }
    else if (refusal == nullptr &&
             running() + queue_.size() >= slots_ + queue_allowance_)
    {
        refusal = &no_slot;
    }
    const auto verdict = starts_of(entry).ledger.decide(order, now_us, refusal);
    if (verdict == start_verdict::accepted)
    {
        queue_.push_back({{entry, order.sequence},
                          order.submission,
                          order.task,
                          order.deadline_us,
                          std::move(order.service),
                          std::move(order.payload)});
    }
    return verdict;
}

void start_scheduler::on_cancel(entry_incarnation entry, const cancel_starts& m)
{
    auto& ledger = starts_of(entry).ledger;
    for (const auto sequence : m.sequences)
    {
        ledger.cancel(sequence);
    }
    prune_queue();
}

void start_scheduler::on_acknowledgement(entry_incarnation entry,
                                         const acknowledgement& m)
{
    starts_of(entry).ledger.acknowledge(m.first_unsettled);
    prune_queue();
}

std::vector<runnable_start> start_scheduler::take_runnable(int64_t now_us)
{
    std::vector<runnable_start> out;
    while (!queue_.empty() && running() < slots_)
    {
        auto next = std::move(queue_.front());
        queue_.pop_front();
        auto& ledger = starts_of(next.key.entry).ledger;
        if (next.deadline_us != 0 && next.deadline_us <= now_us)
        {
            ledger.refuse_queued(next.key.sequence, expired_in_queue);
        }
        else if (ledger.begin(next.key.sequence))
        {
            ++running_;
            out.push_back(std::move(next));
        }
    }
    return out;
}

void start_scheduler::on_run_ended(const start_key& key, run_result result)
{
    --running_;
    starts_of(key.entry).ledger.finish(key.sequence, std::move(result));
}

void start_scheduler::refuse_all_queued(const start_refusal& why)
{
    for (const auto& it : std::exchange(queue_, {}))
    {
        starts_of(it.key.entry).ledger.refuse_queued(it.key.sequence, why);
    }
}

// Removes cancelled and acknowledged starts from the queue, so that they do
// not count against the queue allowance.
void start_scheduler::prune_queue()
{
    const auto settled = [this](const runnable_start& it)
    {
        return !starts_of(it.key.entry).ledger.is_queued(it.key.sequence);
    };
    queue_.erase(std::remove_if(queue_.begin(), queue_.end(), settled),
                 queue_.end());
}

// entries

start_scheduler::entry_starts&
start_scheduler::starts_of(entry_incarnation entry)
{
    const auto it = entries_.find(entry);
    if (it != entries_.end())
    {
        return it->second;
    }
    // A new entry counts as lost until it connects. The issuer of a gathered
    // submission may never have connected to this agent.
    return entries_
        .emplace(entry,
                 entry_starts{start_ledger(self_, limits_.max_records), true})
        .first->second;
}

const start_scheduler::entry_starts*
start_scheduler::find(entry_incarnation entry) const
{
    const auto it = entries_.find(entry);
    return it == entries_.end() ? nullptr : &it->second;
}

void start_scheduler::on_entry_connected(entry_incarnation entry)
{
    starts_of(entry).lost = false;
}

void start_scheduler::on_entry_lost(entry_incarnation entry, int64_t now_us)
{
    auto& starts = starts_of(entry);
    if (starts.lost)
    {
        return;
    }
    starts.lost = true;
    starts.expires_at_us = now_us + limits_.lost_entry_retention.count();
    for (const auto sequence : starts.ledger.queued_starts())
    {
        starts.ledger.refuse_queued(sequence, issuing_entry_lost);
    }
    prune_queue();
}

std::optional<gathered_starts>
start_scheduler::gather(const submission_id& submission, int64_t now_us)
{
    const bool known = fenced_until_us_.count(submission) != 0;
    if (!known && fenced_until_us_.size() >= limits_.max_fenced_submissions)
    {
        return std::nullopt;
    }
    fenced_until_us_[submission] = now_us + limits_.fence_duration.count();
    auto held = starts_of(submission.issuer)
                    .ledger.gather(submission, limits_.max_gather_bytes);
    prune_queue();
    return held;
}

int64_t start_scheduler::expire(int64_t now_us)
{
    int64_t next = 0;
    const auto consider = [&next](int64_t at)
    {
        next = next == 0 ? at : std::min(next, at);
    };
    for (auto& [entry, starts] : entries_)
    {
        if (!starts.lost || starts.ledger.size() == 0)
        {
            continue;
        }
        if (starts.expires_at_us <= now_us)
        {
            // The ledger and its floor stay. If the entry connects again and
            // repeats its orders, they are refused as stale and not run a
            // second time.
            starts.ledger.acknowledge(starts.ledger.next_sequence());
            continue;
        }
        consider(starts.expires_at_us);
    }
    for (auto it = fenced_until_us_.begin(); it != fenced_until_us_.end();)
    {
        if (it->second <= now_us)
        {
            starts_of(it->first.issuer).ledger.unfence(it->first);
            it = fenced_until_us_.erase(it);
            continue;
        }
        consider(it->second);
        ++it;
    }
    evict_lost_entries();
    return next;
}

// Erases the empty ledgers of lost entries beyond the limit, those of the
// entries lost first before others.
void start_scheduler::evict_lost_entries()
{
    std::vector<std::pair<int64_t, entry_incarnation>> lost;
    for (const auto& [entry, starts] : entries_)
    {
        if (starts.lost && starts.ledger.size() == 0 &&
            starts.ledger.fenced_submissions() == 0)
        {
            lost.emplace_back(starts.expires_at_us, entry);
        }
    }
    if (lost.size() <= limits_.max_lost_entries)
    {
        return;
    }
    std::sort(lost.begin(), lost.end());
    lost.resize(lost.size() - limits_.max_lost_entries);
    for (const auto& it : lost)
    {
        entries_.erase(it.second);
    }
}

// reports

std::vector<start_report> start_scheduler::take_reports(entry_incarnation entry,
                                                        std::size_t max_bytes)
{
    return starts_of(entry).ledger.take_reports(max_bytes);
}

void start_scheduler::resend_all(entry_incarnation entry)
{
    starts_of(entry).ledger.resend_all();
}

// lookup

uint32_t start_scheduler::slots() const noexcept
{
    return slots_;
}

uint32_t start_scheduler::queue_allowance() const noexcept
{
    return queue_allowance_;
}

std::size_t start_scheduler::running() const noexcept
{
    return running_;
}

std::size_t start_scheduler::queued() const noexcept
{
    return queue_.size();
}

std::size_t start_scheduler::tracked() const noexcept
{
    std::size_t n = 0;
    for (const auto& it : entries_)
    {
        n += it.second.ledger.size();
    }
    return n;
}

std::size_t start_scheduler::unacknowledged() const noexcept
{
    std::size_t n = 0;
    for (const auto& it : entries_)
    {
        n += it.second.ledger.unacknowledged();
    }
    return n;
}

std::size_t start_scheduler::unfinished(entry_incarnation entry) const
{
    const auto* starts = find(entry);
    return starts == nullptr
               ? 0
               : starts->ledger.running() + starts->ledger.queued();
}

bool start_scheduler::has_reports(entry_incarnation entry) const
{
    const auto* starts = find(entry);
    return starts != nullptr && starts->ledger.has_reports();
}

std::size_t start_scheduler::tracked_entries() const noexcept
{
    return entries_.size();
}

} // namespace agatebank
