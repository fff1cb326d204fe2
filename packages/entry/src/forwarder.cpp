#include <agatebank/entry/forwarder.hpp>

#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_forward = "submission.forward";
/// Interval at which an unanswered request is checked.
constexpr duration retry_pause = std::chrono::milliseconds(200);
/// Time after the end of the caller's wait within which the issuer's reply may
/// still arrive.
constexpr duration reply_margin = std::chrono::seconds(5);

} // namespace

forwarder::forwarder(event_loop& loop, timer_queue& timers, peer_links& links,
                     entry_directory& entries, gatherer& gathering)
    : loop_(loop)
    , timers_(timers)
    , links_(links)
    , entries_(entries)
    , gathering_(gathering)
{
}

void forwarder::forward(forward_request request, http_responder respond)
{
    const auto number = ++last_number_;
    request.number = number;
    auto& p = requests_[number];
    p.give_up = loop_.now() + duration(request.wait_us) + reply_margin;
    p.request = std::move(request);
    p.respond = std::move(respond);
    attempt(number);
}

void forwarder::attempt(uint64_t number)
{
    auto& p = requests_.at(number);
    p.sent_on = link_id();
    const auto issuer = p.request.submission.issuer;
    const auto* peer = entries_.find(issuer);
    if (peer == nullptr ? entries_.settled() : peer->gone)
    {
        hand_to_gatherer(number);
        return;
    }
    if (loop_.now() >= p.give_up)
    {
        give_up(number);
        return;
    }
    p.sent_on = links_.send(issuer, p.request);
    retry_later(number);
}

// Checks the request periodically until its reply arrives. A request that was
// sent on a link that is still open is not sent again.
void forwarder::retry_later(uint64_t number)
{
    auto& p = requests_.at(number);
    p.retry =
        timers_.schedule(retry_pause,
                         [this, number]
                         {
                             auto& again = requests_.at(number);
                             const auto* peer =
                                 entries_.find(again.request.submission.issuer);
                             const bool sent = again.sent_on != link_id();
                             const bool live = peer != nullptr && !peer->gone;
                             if (sent && live && loop_.now() < again.give_up)
                             {
                                 retry_later(number);
                                 return;
                             }
                             attempt(number);
                         });
}

void forwarder::on_up(entry_incarnation issuer)
{
    std::vector<uint64_t> waiting;
    for (const auto& [number, p] : requests_)
    {
        if (p.request.submission.issuer == issuer && p.sent_on == link_id())
        {
            waiting.push_back(number);
        }
    }
    for (const auto number : waiting)
    {
        timers_.cancel(requests_.at(number).retry);
        attempt(number);
    }
}

void forwarder::on_reply(const forward_reply& reply)
{
    auto node = requests_.extract(reply.number);
    if (node.empty())
    {
        return;
    }
    timers_.cancel(node.mapped().retry);
    http_response r;
    r.status = reply.status;
    r.content_type = reply.content_type;
    r.body = reply.body;
    node.mapped().respond(r);
}

void forwarder::on_closed(link_id link)
{
    for (auto& [number, p] : requests_)
    {
        if (p.sent_on == link)
        {
            p.sent_on = link_id();
        }
    }
}

void forwarder::hand_to_gatherer(uint64_t number)
{
    auto node = requests_.extract(number);
    auto& p = node.mapped();
    timers_.cancel(p.retry);
    gathering_.gather(p.request.submission, p.request.submission_text,
                      duration(p.request.wait_us), std::move(p.respond));
}

void forwarder::give_up(uint64_t number)
{
    auto node = requests_.extract(number);
    auto& p = node.mapped();
    timers_.cancel(p.retry);
    auto r = problem_response(503,
                              {errc::peer_unreachable,
                               step_forward,
                               {},
                               "no reply from the issuing entry"},
                              run_fate::may_have_run);
    r.headers.push_back({"Retry-After", "1"});
    p.respond(r);
}

std::size_t forwarder::pending() const noexcept
{
    return requests_.size();
}

} // namespace agatebank
