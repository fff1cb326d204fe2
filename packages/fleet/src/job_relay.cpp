#include <agatebank/core/duration_math.hpp>
#include <agatebank/fleet/job_relay.hpp>

#include <algorithm>
#include <vector>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// Request numbers from here on belong to relayed jobs.
constexpr uint64_t first_relay_number = uint64_t{1} << 63;
/// The second entry's deadline is earlier by this, so that its outcome is back
/// at the first entry before the caller's deadline.
constexpr duration return_time = 10ms;
constexpr duration refusal_retry_after = 1s;

job_result to_job_result(relay_result result)
{
    switch (result)
    {
    case relay_result::succeeded:
        return job_result::succeeded;
    case relay_result::failed:
        return job_result::failed;
    case relay_result::not_run:
    case relay_result::busy:
        return job_result::not_run;
    case relay_result::abandoned:
        break;
    }
    return job_result::abandoned;
}

relay_result to_relay_result(const job_outcome& outcome)
{
    switch (outcome.result)
    {
    case job_result::succeeded:
        return relay_result::succeeded;
    case job_result::failed:
        return relay_result::failed;
    case job_result::not_run:
        return outcome.no_target ? relay_result::busy : relay_result::not_run;
    case job_result::abandoned:
        break;
    }
    return relay_result::abandoned;
}

const char* to_word(relay_result result)
{
    switch (result)
    {
    case relay_result::succeeded:
        return "succeeded";
    case relay_result::failed:
        return "failed";
    case relay_result::not_run:
        return "not run";
    case relay_result::busy:
        return "busy, not run";
    case relay_result::abandoned:
        break;
    }
    return "abandoned";
}

} // namespace

job_relay::job_relay(job_relay_hooks hooks) : hooks_(std::move(hooks)) {}

bool job_relay::is_relay_request(uint64_t number) noexcept
{
    return number >= first_relay_number;
}

// first entry

void job_relay::relay(relay_peer_id peer, uint64_t number,
                      job_submission submission, job_answer done,
                      time_point now)
{
    const relay_id id(++last_id_);
    const auto message =
        to_relayed_job(id, submission, submission.deadline - return_time);
    sent_job job;
    job.peer = peer;
    job.number = number;
    job.done = std::move(done);
    job.arrived = now - submission.spent;
    job.sent = now;
    job.deadline = now + submission.deadline;
    job.submission = std::move(submission);
    sent_by_job_[job.submission.id] = id;
    sent_by_request_[number] = id;
    sent_.emplace(id, std::move(job));
    ++counts_.relayed;
    hooks_.send_job(peer, message);
}

bool job_relay::attach(const std::string& job, uint64_t number,
                       job_answer& done)
{
    const auto it = sent_by_job_.find(job);
    if (it == sent_by_job_.end())
    {
        return false;
    }
    auto& found = sent_.at(it->second);
    sent_by_request_.erase(found.number);
    found.number = number;
    found.done = std::move(done);
    sent_by_request_[number] = it->second;
    return true;
}

bool job_relay::abandon(uint64_t number)
{
    const auto it = sent_by_request_.find(number);
    if (it == sent_by_request_.end())
    {
        return false;
    }
    const auto id = it->second;
    const auto job = take(id);
    hooks_.send_cancel(job.peer, {id});
    log(log_level::info, job.submission.id,
        "relayed job cancelled: the caller closed its connection");
    return true;
}

bool job_relay::cancel(const std::string& job)
{
    const auto it = sent_by_job_.find(job);
    if (it == sent_by_job_.end())
    {
        return false;
    }
    const auto id = it->second;
    hooks_.send_cancel(sent_.at(id).peer, {id});
    give_up(id, "requested by the caller");
    return true;
}

bool job_relay::is_relayed(const std::string& job) const
{
    return sent_by_job_.count(job) != 0;
}

void job_relay::on_outcome(relay_peer_id peer, const relayed_outcome& outcome,
                           time_point now)
{
    const auto it = sent_.find(outcome.id);
    if (it == sent_.end() || it->second.peer != peer)
    {
        return; // cancelled or given up meanwhile
    }
    auto job = take(outcome.id);
    const bool served_here =
        outcome.result == relay_result::busy && now < job.deadline;
    ++(served_here ? counts_.refused_by_peer : counts_.answered);
    log(log_level::info, job.submission.id,
        std::string("relayed job ended: ") + to_word(outcome.result) +
            " after " + to_ms_text(now - job.sent) +
            (served_here ? ", served here, time to deadline " +
                               to_ms_text(job.deadline - now)
                         : std::string()));
    if (served_here)
    {
        job.submission.spent = now - job.arrived;
        job.submission.deadline = job.deadline - now;
        hooks_.serve(job.number, std::move(job.submission),
                     std::move(job.done));
        return;
    }
    job_outcome out;
    out.result = to_job_result(outcome.result);
    out.retry_after = outcome.result == relay_result::busy
                          ? duration(refusal_retry_after)
                          : duration(outcome.retry_after_us);
    job.done(out);
}

void job_relay::abandon_all(const char* why)
{
    while (!sent_.empty())
    {
        const auto& [id, job] = *sent_.begin();
        hooks_.send_cancel(job.peer, {id});
        give_up(id, why);
    }
}

void job_relay::tick(time_point now)
{
    std::vector<relay_id> ended;
    for (const auto& [id, job] : sent_)
    {
        if (now >= job.deadline)
        {
            ended.push_back(id);
        }
    }
    for (const auto id : ended)
    {
        hooks_.send_cancel(sent_.at(id).peer, {id});
        give_up(id, "no outcome at the deadline");
    }
}

job_relay::sent_job job_relay::take(relay_id id)
{
    const auto it = sent_.find(id);
    auto out = std::move(it->second);
    sent_.erase(it);
    sent_by_job_.erase(out.submission.id);
    sent_by_request_.erase(out.number);
    return out;
}

void job_relay::give_up(relay_id id, const char* why)
{
    const auto job = take(id);
    log(log_level::info, job.submission.id,
        std::string("relayed job given up: ") + why);
    job.done({job_result::abandoned, {}});
}

// second entry

void job_relay::on_job(relay_peer_id peer, const relayed_job& job)
{
    ++counts_.received;
    auto submission = to_submission(job);
    const bool may_serve = hooks_.may_serve();
    if (!submission || !may_serve || job.deadline_us <= 0)
    {
        ++counts_.refused;
        log(log_level::warning, job.job,
            std::string("relayed job refused: ") +
                (!submission ? "its steps are invalid"
                 : may_serve ? "its deadline has passed"
                             : "no processor time or no target") +
                ", spent " + to_ms_text(duration(job.spent_us)) +
                ", time to deadline " + to_ms_text(duration(job.deadline_us)));
        hooks_.send_outcome(peer, {job.id, relay_result::busy, 0});
        return;
    }
    const auto number = first_relay_number + ++last_number_;
    const received_key key{peer, job.id};
    received_[key] = number;
    hooks_.serve(number, std::move(*submission),
                 [this, key](const auto& out) { answer(key, out); });
}

void job_relay::answer(const received_key& key, const job_outcome& outcome)
{
    if (received_.erase(key) == 0)
    {
        return; // cancelled, or the link was lost
    }
    const auto result = to_relay_result(outcome);
    counts_.refused += result == relay_result::busy ? 1 : 0;
    hooks_.send_outcome(key.first,
                        {key.second, result, outcome.retry_after.count()});
}

void job_relay::on_cancel(relay_peer_id peer, const relay_cancel& cancel)
{
    const auto it = received_.find({peer, cancel.id});
    if (it == received_.end())
    {
        return; // has ended
    }
    const auto number = it->second;
    received_.erase(it);
    hooks_.abandon(number, "cancelled by the entry that relayed it");
}

// both

void job_relay::on_peer_lost(relay_peer_id peer)
{
    std::vector<relay_id> lost;
    for (const auto& [id, job] : sent_)
    {
        if (job.peer == peer)
        {
            lost.push_back(id);
        }
    }
    std::vector<uint64_t> numbers;
    for (auto it = received_.lower_bound({peer, relay_id()});
         it != received_.end() && it->first.first == peer;
         it = received_.erase(it))
    {
        numbers.push_back(it->second);
    }
    for (const auto id : lost)
    {
        ++counts_.lost;
        give_up(id, "the link to the entry that serves it is lost");
    }
    for (const auto number : numbers)
    {
        hooks_.abandon(number, "the link to the entry that relayed it is lost");
    }
}

// lookup

std::size_t job_relay::size() const noexcept
{
    return sent_.size();
}

bool job_relay::uses(relay_peer_id peer) const
{
    const auto it = received_.lower_bound({peer, relay_id()});
    return (it != received_.end() && it->first.first == peer) ||
           std::any_of(sent_.begin(), sent_.end(),
                       [peer](const auto& job)
                       { return job.second.peer == peer; });
}

const job_relay_counts& job_relay::counts() const noexcept
{
    return counts_;
}

void job_relay::log(log_level level, const std::string& job,
                    std::string text) const
{
    log_record r;
    r.level = level;
    r.text = std::move(text);
    r.step = "relay";
    r.submission = job;
    hooks_.log(r);
}

} // namespace agatebank
