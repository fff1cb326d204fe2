#include <agatebank/entry/gatherer.hpp>
#include <agatebank/entry/job_settlement.hpp>

#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_gather = "submission.gather";
/// Time within which the agents must reply to a query; a round ends without the
/// replies that are missing then.
constexpr duration round_timeout = std::chrono::seconds(1);
/// Delay before all agents are queried again while tasks still run.
constexpr duration round_pause = std::chrono::milliseconds(100);
/// Time for which a settlement is stored.
constexpr duration settlement_retention = std::chrono::minutes(10);

http_response to_response(const std::string& text)
{
    http_response r;
    r.content_type = "application/json";
    r.body = text;
    return r;
}

} // namespace

gatherer::gatherer(event_loop& loop, timer_queue& timers,
                   agent_directory& agents, event_ring& events)
    : loop_(loop), timers_(timers), agents_(agents), events_(events)
{
}

void gatherer::gather(const submission_id& id, const std::string& id_text,
                      duration wait, http_responder respond)
{
    const auto settled = settlements_.find(id);
    if (settled != settlements_.end())
    {
        respond(to_response(settled->second));
        return;
    }
    event e;
    e.kind = event_kind::gather_began;
    e.submission = to_name(id);
    events_.record(std::move(e));
    const auto number = ++last_number_;
    auto& p = pending_[number];
    p.submission = id;
    p.id_text = id_text;
    p.wait_end = loop_.now() + wait;
    p.respond = std::move(respond);
    begin_round(number);
}

void gatherer::begin_round(uint64_t number)
{
    auto& p = pending_.at(number);
    p.running = 0;
    const auto agents = agents_.connected();
    p.awaited = {agents.begin(), agents.end()};
    for (const auto agent : agents)
    {
        agents_.send(agent, gather_query{number, p.submission});
    }
    p.round_end =
        timers_.schedule(p.awaited.empty() ? duration::zero() : round_timeout,
                         [this, number] { end_round(number); });
}

void gatherer::on_reply(agent_incarnation agent, const gather_reply& reply)
{
    const auto it = pending_.find(reply.request_id);
    if (it == pending_.end() || it->second.awaited.erase(agent) == 0)
    {
        return;
    }
    auto& p = it->second;
    p.running += reply.running;
    for (const auto& held : reply.held)
    {
        // A task may have been sent to several agents: an answer takes
        // precedence over any other report.
        auto& kept = p.held[held.task];
        if (kept.report.kind != report_kind::answered || kept.job_tasks == 0)
        {
            kept = held;
        }
    }
    if (p.awaited.empty())
    {
        timers_.cancel(p.round_end);
        end_round(reply.request_id);
    }
}

void gatherer::end_round(uint64_t number)
{
    auto& p = pending_.at(number);
    if (p.running == 0)
    {
        settle(number);
        return;
    }
    if (loop_.now() >= p.wait_end)
    {
        p.respond(json_response(
            202, {{"submission", p.id_text}, {"state", "running"}}));
        pending_.erase(number);
        return;
    }
    p.round_end =
        timers_.schedule(round_pause, [this, number] { begin_round(number); });
}

void gatherer::settle(uint64_t number)
{
    auto node = pending_.extract(number);
    auto& p = node.mapped();
    const auto added = settlements_.emplace(p.submission, make_settlement(p));
    if (added.second)
    {
        timers_.schedule(settlement_retention,
                         [this, id = p.submission] { settlements_.erase(id); });
    }
    event e;
    e.kind = event_kind::gather_ended;
    e.submission = to_name(p.submission);
    events_.record(std::move(e));
    p.respond(to_response(added.first->second));
}

std::string gatherer::make_settlement(const pending_gather& p) const
{
    job_settlement s;
    uint32_t answered = 0;
    uint32_t tasks = 0;
    for (const auto& [task, held] : p.held)
    {
        tasks = held.job_tasks;
        s.patience = held.patience;
        s.charged = held.job_price;
        if (held.report.kind == report_kind::answered)
        {
            ++answered;
            s.answers.push_back(held.report.body);
        }
    }
    s.messages = static_cast<unsigned>(2 * p.held.size());
    s.complete = tasks > 0 && answered == tasks;
    s.status =
        s.complete ? execution_status::ran : execution_status::may_have_run;
    if (!s.complete)
    {
        s.answers.clear();
        s.charged = price();
        s.reason = {errc::entry_lost, step_gather, {}, {}};
    }
    return to_json(s, p.id_text).dump();
}

std::size_t gatherer::pending() const noexcept
{
    return pending_.size();
}

} // namespace agatebank
