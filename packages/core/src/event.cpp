#include <agatebank/core/event.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace agatebank
{

namespace
{

// Indexed by event_kind, so in the same order.
constexpr std::array event_words{"process_started",
                                 "process_leaving",
                                 "submission_issued",
                                 "job_admitted",
                                 "job_refused",
                                 "job_settled",
                                 "job_cancelled",
                                 "request_forwarded",
                                 "start_sent",
                                 "start_sent_again",
                                 "start_accepted",
                                 "start_refused",
                                 "run_began",
                                 "run_ended",
                                 "report_received",
                                 "agent_connected",
                                 "agent_lost",
                                 "entry_connected",
                                 "entry_lost",
                                 "target_announced",
                                 "target_withdrawn",
                                 "target_ejected",
                                 "target_probed",
                                 "configuration_in_force",
                                 "configuration_written",
                                 "gather_began",
                                 "gather_ended"};

} // namespace

const char* to_word(event_kind kind) noexcept
{
    const auto i = static_cast<std::size_t>(kind);
    return i < event_words.size() ? event_words[i] : "unknown";
}

bool event_filter::matches(const event& e) const
{
    if (!submission.empty() && e.submission != submission)
    {
        return false;
    }
    if (!target.empty() && e.target != target)
    {
        return false;
    }
    return e.stamp.wall_us >= from_us && e.stamp.wall_us <= to_us;
}

event_ring::event_ring(hybrid_clock& clock, std::string process,
                       std::size_t capacity)
    : clock_(clock), process_(std::move(process)), capacity_(capacity)
{
}

void event_ring::record(event e)
{
    e.stamp = clock_.tick();
    e.process = process_;
    if (events_.size() == capacity_)
    {
        events_.pop_front();
    }
    events_.push_back(std::move(e));
}

std::vector<event> event_ring::select(const event_filter& filter) const
{
    std::vector<event> out;
    for (auto it = events_.rbegin();
         it != events_.rend() && out.size() < filter.max_events; ++it)
    {
        if (filter.matches(*it))
        {
            out.push_back(*it);
        }
    }
    std::reverse(out.begin(), out.end());
    return out;
}

} // namespace agatebank
