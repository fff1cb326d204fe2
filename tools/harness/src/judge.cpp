#include <agatebank/harness/judge.hpp>

#include <algorithm>
#include <set>

namespace agatebank
{

void judge::saw(const std::string& submission, const job_request& job,
                const caller_reply& reply)
{
    replies_.push_back({submission, job, reply});
}

std::vector<std::string> judge::breaches(const ledger& starts) const
{
    auto out = starts.started_twice();
    for (const auto& s : replies_)
    {
        check_answer(s, out);
        check_not_run(s, starts, out);
    }
    // Checked by payload: work that is not idempotent must not run twice, not
    // even under two different submission ids.
    std::set<std::string> echoes;
    for (const auto& s : replies_)
    {
        for (const auto& t : s.job.tasks)
        {
            if (echoes.insert(t.echo).second &&
                starts.times_of(t.echo).size() > 1)
            {
                out.push_back("payload " + t.echo + " ran twice");
            }
        }
    }
    return out;
}

std::size_t judge::count(const std::string& state) const
{
    return static_cast<std::size_t>(std::count_if(
        replies_.begin(), replies_.end(),
        [&](const recorded_reply& s) { return s.reply.state == state; }));
}

void judge::check_answer(const recorded_reply& s,
                         std::vector<std::string>& out) const
{
    if (s.reply.state != "complete")
    {
        if (!s.reply.answers.empty())
        {
            out.push_back(s.submission + ": answers without being complete");
        }
        return;
    }
    if (s.reply.answers.size() != s.job.tasks.size())
    {
        out.push_back(s.submission + ": partial answer");
        return;
    }
    for (std::size_t i = 0; i < s.job.tasks.size(); ++i)
    {
        if (s.reply.answers[i] != s.job.tasks[i].echo)
        {
            out.push_back(s.submission + ": task " + std::to_string(i) +
                          " got " + s.reply.answers[i] + " for " +
                          s.job.tasks[i].echo);
        }
    }
}

// A start contradicts a "not-run" reply if it precedes the reply, or if the
// submission was not sent again between the reply and the start.
void judge::check_not_run(const recorded_reply& s, const ledger& starts,
                          std::vector<std::string>& out) const
{
    if (s.reply.run != "not-run")
    {
        return;
    }
    for (const auto& t : s.job.tasks)
    {
        for (const auto at_us : starts.times_of(t.echo))
        {
            if (at_us < s.reply.got_us || !was_resubmitted(s, at_us))
            {
                out.push_back(s.submission + ": \"not run\" (" + s.reply.code +
                              ") but " + t.echo + " ran");
            }
        }
    }
}

bool judge::was_resubmitted(const recorded_reply& s, int64_t before_us) const
{
    return std::any_of(replies_.begin(), replies_.end(),
                       [&](const recorded_reply& other)
                       {
                           return other.submission == s.submission &&
                                  other.reply.got_us > s.reply.got_us &&
                                  other.reply.sent_us <= before_us;
                       });
}

std::string to_lines(const std::vector<std::string>& breaches)
{
    std::string out;
    for (const auto& b : breaches)
    {
        out += b + "\n";
    }
    return out;
}

} // namespace agatebank
