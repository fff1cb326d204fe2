#include <agatebank/entry/forwarder.hpp>

#include <utility>

namespace agatebank
{

namespace
{

constexpr const char* step_forward = "submission.forward";
/// Interval at which an unanswered request is checked.
constexpr duration check_interval = std::chrono::milliseconds(200);
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
    , gatherer_(gathering)
{
}

void forwarder::forward(forward_request request, http_responder respond)
{
    const auto number = ++last_number_;
    request.request_id = number;
    auto& p = requests_[number];
    p.expiry = loop_.now() + duration(request.wait_us) + reply_margin;
    p.request = std::move(request);
    p.respond = std::move(respond);
    try_send(number);
}

void forwarder::try_send(uint64_t number)
{
    auto& p = requests_.at(number);
    p.sent_on = link_id();
    const auto issuer = p.request.submission.issuer;
    const auto* peer = entries_.find(issuer);
    if (peer == nullptr ? entries_.discovery_complete() : peer->lost)
    {
        pass_to_gatherer(number);
        return;
    }
    if (loop_.now() >= p.expiry)
    {
        respond_unreachable(number);
        return;
    }
    p.sent_on = links_.send(issuer, p.request);
    schedule_check(number);
}

// Checks the request periodically until its reply arrives. A request that was
// sent on a link that is still open is not sent again.
void forwarder::schedule_check(uint64_t number)
{
    auto& p = requests_.at(number);
    p.check_timer = timers_.schedule(
        check_interval,
        [this, number]
        {
            auto& watched = requests_.at(number);
            const auto* peer = entries_.find(watched.request.submission.issuer);
            const bool sent = watched.sent_on != link_id();
            const bool live = peer != nullptr && !peer->lost;
            if (sent && live && loop_.now() < watched.expiry)
            {
                schedule_check(number);
                return;
            }
            try_send(number);
        });
}

void forwarder::on_link_up(entry_incarnation issuer)
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
        timers_.cancel(requests_.at(number).check_timer);
        try_send(number);
    }
}

void forwarder::on_reply(const forward_reply& reply)
{
    auto node = requests_.extract(reply.request_id);
    if (node.empty())
    {
        return;
    }
    timers_.cancel(node.mapped().check_timer);
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

void forwarder::pass_to_gatherer(uint64_t number)
{
    auto node = requests_.extract(number);
    auto& p = node.mapped();
    timers_.cancel(p.check_timer);
    gatherer_.gather(p.request.submission, p.request.submission_text,
                     duration(p.request.wait_us), std::move(p.respond));
}

void forwarder::respond_unreachable(uint64_t number)
{
    auto node = requests_.extract(number);
    auto& p = node.mapped();
    timers_.cancel(p.check_timer);
    auto r = problem_response(503,
                              {errc::peer_unreachable,
                               step_forward,
                               {},
                               "no reply from the issuing entry"},
                              execution_status::may_have_run);
    r.headers.push_back({"Retry-After", "1"});
    p.respond(r);
}

std::size_t forwarder::pending() const noexcept
{
    return requests_.size();
}

} // namespace agatebank
