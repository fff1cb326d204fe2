#include <agatebank/http/identified_connections.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace agatebank
{

namespace
{

constexpr const char* step_identify = "http.identify";
constexpr unsigned status_ok = 200;
/// Times that a call is sent on another connection, as the one that was chosen
/// had ended. A peer that ends each connection after a response is not served.
constexpr unsigned max_tries = 3;

http_failure not_sent(errc code, const http_call& call, std::string why)
{
    return {{make_error_code(code), step_identify, call.url, std::move(why)},
            false};
}

} // namespace

identified_connections::connection::connection(event_loop& loop)
    : client(loop, {}, 1)
{
}

identified_connections::identified_connections(event_loop& loop,
                                               std::size_t max_connections,
                                               identification how)
    : loop_(loop), max_connections_(max_connections), how_(std::move(how))
{
}

identified_connections::~identified_connections() = default;

// modifiers

void identified_connections::close_idle_except(peer_identity identity)
{
    std::vector<connection_number> idle;
    for (const auto& [number, c] : connections_)
    {
        if (!c->busy && c->identity != identity)
        {
            idle.push_back(number);
        }
    }
    for (const auto it : idle)
    {
        drop(it);
    }
}

// calls

http_call_handle identified_connections::send(const http_call& call,
                                              peer_identity expected,
                                              http_completion done)
{
    return add(call, expected, std::move(done));
}

http_call_handle identified_connections::identify(const http_call& call,
                                                  http_completion done)
{
    return add(call, std::nullopt, std::move(done));
}

http_call_handle
identified_connections::add(const http_call& call,
                            std::optional<peer_identity> expected,
                            http_completion done)
{
    const request_number number(++last_request_);
    auto& rq = requests_[number];
    rq.call = call;
    rq.done = std::move(done);
    rq.until = loop_.now() + call.timeout;
    rq.expected = expected;
    dispatch(number);
    return {this, [this, number](void*)
            {
                cancel(number);
            }};
}

void identified_connections::dispatch(request_number number)
{
    auto& rq = requests_.at(number);
    ++rq.tries;
    if (const auto idle = find_idle(rq.expected))
    {
        rq.used = *idle;
        send_call(number);
        return;
    }
    const auto opened = open(rq.expected);
    if (!opened)
    {
        fail_later(number);
        return;
    }
    rq.used = *opened;
    if (!rq.expected)
    {
        send_call(number);
        return;
    }
    send_on(rq.used, number, how_.make_call(),
            [this, number](const outcome& r) { on_identified(number, r); });
}

void identified_connections::fail_later(request_number number)
{
    loop_.defer(
        [this, number]
        {
            const auto it = requests_.find(number);
            if (it != requests_.end())
            {
                complete(number, tl::unexpected(not_sent(
                                     errc::target_unreachable, it->second.call,
                                     "all " + std::to_string(max_connections_) +
                                         " connections are in use")));
            }
        });
}

void identified_connections::send_call(request_number number)
{
    auto& rq = requests_.at(number);
    auto call = rq.call;
    if (rq.expected)
    {
        call.connection = connections_.at(rq.used)->id;
    }
    send_on(rq.used, number, call,
            [this, number](const outcome& r) { on_response(number, r); });
}

void identified_connections::send_on(connection_number c, request_number number,
                                     const http_call& call,
                                     http_completion done)
{
    auto& rq = requests_.at(number);
    auto& to = *connections_.at(c);
    to.busy = true;
    auto limited = call;
    limited.timeout = std::max(duration(0), rq.until - loop_.now());
    rq.handle = to.client.send(limited, std::move(done));
}

void identified_connections::on_identified(request_number number,
                                           const outcome& result)
{
    auto& rq = requests_.at(number);
    // Keeps the handle alive until the completion of its call has returned.
    const auto keep = std::move(rq.handle);
    if (!result)
    {
        drop(rq.used);
        auto failed = result.error();
        failed.may_have_been_received = false;
        complete(number, tl::unexpected(std::move(failed)));
        return;
    }
    note_identity(rq.used, *result);
    const auto& named = connections_.at(rq.used)->identity;
    if (named && named == rq.expected)
    {
        send_call(number);
        return;
    }
    if (named)
    {
        complete(number, tl::unexpected(not_sent(
                             errc::start_wrong_incarnation, rq.call,
                             "peer is " + std::to_string(named->value()))));
        return;
    }
    drop(rq.used);
    if (result->status != status_ok)
    {
        complete(number, result);
        return;
    }
    complete(number, tl::unexpected(not_sent(
                         errc::message_malformed, rq.call,
                         "response doesn't name the peer's identity")));
}

void identified_connections::on_response(request_number number,
                                         const outcome& result)
{
    auto& rq = requests_.at(number);
    const auto keep = std::move(rq.handle);
    if (result)
    {
        note_identity(rq.used, *result);
        if (!connections_.at(rq.used)->identity)
        {
            drop(rq.used);
        }
        complete(number, result);
        return;
    }
    drop(rq.used);
    if (result.error().connection_ended && rq.tries < max_tries &&
        loop_.now() < rq.until)
    {
        dispatch(number);
        return;
    }
    complete(number, result);
}

void identified_connections::note_identity(connection_number number,
                                           const http_response& response)
{
    auto& c = *connections_.at(number);
    c.busy = false;
    if (c.id != response.connection || !c.identity)
    {
        c.id = response.connection;
        c.identity = how_.read(response);
    }
}

void identified_connections::complete(request_number number,
                                      const outcome& result)
{
    const auto done = std::move(requests_.extract(number).mapped().done);
    done(result);
}

void identified_connections::cancel(request_number number)
{
    const auto it = requests_.find(number);
    if (it == requests_.end())
    {
        return;
    }
    const auto c = it->second.used;
    requests_.erase(it);
    drop(c);
}

// connections

std::optional<identified_connections::connection_number>
identified_connections::find_idle(std::optional<peer_identity> identity) const
{
    // The newest first: it is the least likely to have ended.
    for (auto it = connections_.rbegin(); it != connections_.rend(); ++it)
    {
        const auto& c = *it->second;
        if (!c.busy && c.identity && (!identity || c.identity == identity))
        {
            return it->first;
        }
    }
    return std::nullopt;
}

std::optional<identified_connections::connection_number>
identified_connections::open(std::optional<peer_identity> expected)
{
    if (connections_.size() >= max_connections_ && expected)
    {
        close_idle_except(*expected);
    }
    if (connections_.size() >= max_connections_)
    {
        return std::nullopt;
    }
    const connection_number number(++last_connection_);
    connections_[number] = std::make_shared<connection>(loop_);
    return number;
}

void identified_connections::drop(connection_number number)
{
    if (auto node = connections_.extract(number))
    {
        loop_.defer([c = std::move(node.mapped())] {});
    }
}

// lookup

bool identified_connections::has_idle(peer_identity identity) const
{
    return find_idle(identity).has_value();
}

std::size_t identified_connections::size() const noexcept
{
    return connections_.size();
}

} // namespace agatebank
