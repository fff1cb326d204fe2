#include <agatebank/harness/judge.hpp>

#include <algorithm>
#include <set>

namespace agatebank
{

void judge::saw(const std::string& submission, const job_request& job,
                const caller_reply& reply)
{
    sightings_.push_back({submission, job, reply});
}

std::vector<std::string> judge::breaches(const ledger& starts) const
{
    auto out = starts.started_twice();
    for (const auto& s : sightings_)
    {
        check_answer(s, out);
        check_not_run(s, starts, out);
    }
    // Non-idempotent work must not run twice under any identity.
    std::set<std::string> echoes;
    for (const auto& s : sightings_)
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
        sightings_.begin(), sightings_.end(),
        [&](const sighting& s) { return s.reply.state == state; }));
}

void judge::check_answer(const sighting& s, std::vector<std::string>& out) const
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

// A start before the reply, or one that no later request can explain.
void judge::check_not_run(const sighting& s, const ledger& starts,
                          std::vector<std::string>& out) const
{
    if (s.reply.run != "not-run")
    {
        return;
    }
    const bool again = sent_again(s);
    for (const auto& t : s.job.tasks)
    {
        for (const auto at_us : starts.times_of(t.echo))
        {
            if (at_us < s.reply.got_us || !again)
            {
                out.push_back(s.submission + ": \"not run\" (" + s.reply.code +
                              ") but " + t.echo + " ran");
            }
        }
    }
}

bool judge::sent_again(const sighting& s) const
{
    return std::any_of(sightings_.begin(), sightings_.end(),
                       [&](const sighting& other)
                       {
                           return other.submission == s.submission &&
                                  other.reply.got_us > s.reply.got_us;
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
