#include "raw_peer.hpp"

#include <chrono>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t long_bytes = 100'000; // more than one read takes

message order(std::size_t payload_bytes)
{
    run_batch out;
    out.payload = std::string(payload_bytes, 'x');
    out.orders.emplace_back();
    return out;
}

message cancellation(std::size_t n)
{
    return cancel_orders{std::vector<order_id>(n)};
}

message document(std::size_t bytes)
{
    return configuration_document{config_version(1), std::string(bytes, 'x')};
}

} // namespace

// Guards against an order or a cancellation that is carried out after others
// have acted on the silence of its sender, since its frame is long.
TEST_CASE("tcp_link: a late message is refused, but a long one only if it "
          "carries orders")
{
    struct row
    {
        const char* name;
        message sent;
        duration age;
        bool refused;
    };
    const row rows[] = {
        {"order", order(1), 900ms, true},
        {"long order", order(long_bytes), 900ms, true},
        {"long order in time", order(long_bytes), 600ms, false},
        {"long cancellation", cancellation(long_bytes / 8), 900ms, true},
        {"long document", document(long_bytes), 900ms, false},
        {"document", document(1), 900ms, true}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        raw_peer peer;
        const auto now = peer.loop.now();
        peer.write_nonce();
        peer.write_heartbeat(now, now);
        peer.run(20ms);
        peer.write_message(it.sent, peer.loop.now() - it.age);
        peer.run(50ms);
        CHECK(peer.closed.has_value() == it.refused);
        CHECK(peer.delivered == (it.refused ? 0 : 1));
    }
}

// Guards against a lease that is extended for an entry of which only the first
// bytes of a long frame, sent at an unknown time, have arrived.
TEST_CASE("tcp_link: a part of a long frame keeps the link open, but doesn't "
          "count as heard")
{
    raw_peer peer;
    const auto sent = peer.loop.now();
    peer.write_nonce();
    peer.write_heartbeat(sent, sent);
    peer.run(20ms);
    const auto heard = peer.link->last_heard();
    for (int i = 0; i < 10; ++i)
    {
        peer.write_part(long_bytes);
        peer.run(100ms);
    }
    CHECK(peer.link->last_heard() == heard);
    CHECK_FALSE(peer.closed);
}

// Guards against an entry that counts as heard when its nonce arrives, which
// may have been under way for any time.
TEST_CASE("tcp_link: a nonce doesn't count as heard; before the first message "
          "the begin of the dial counts")
{
    for (const auto dial_age : {duration(0), duration(300ms)})
    {
        event_loop loop;
        const auto dialed = loop.now() - dial_age;
        raw_peer peer(dialed);
        CHECK(peer.link->last_heard() == dialed);
        peer.run(50ms);
        peer.write_nonce();
        peer.run(50ms);
        CHECK(peer.link->last_heard() == dialed);
    }
    raw_peer accepted;
    const auto opened = accepted.link->last_heard();
    accepted.run(50ms);
    accepted.write_nonce();
    accepted.run(50ms);
    CHECK(accepted.link->last_heard() == opened);
}

// Guards against an order that is taken for fresh since its link was opened
// while the path was slow, so that no message was faster.
TEST_CASE("tcp_link: a late order is refused on a link that was slow from its "
          "first message")
{
    struct row
    {
        const char* name;
        duration first_delay;
        duration order_delay;
        bool refused;
    };
    const row rows[] = {{"fast", 1ms, 1ms, false},
                        {"slow", 500ms, 700ms, false},
                        {"late", 500ms, 1000ms, true}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        event_loop loop;
        const auto dialed = loop.now();
        raw_peer peer(dialed);
        peer.run(it.first_delay);
        peer.write_nonce();
        peer.write_heartbeat(dialed);
        peer.run(20ms);
        CHECK(peer.link->last_heard() < dialed + 20ms);
        peer.run(it.order_delay - it.first_delay);
        peer.write_message(order(1), peer.loop.now() - it.order_delay);
        peer.run(20ms);
        CHECK(peer.closed.has_value() == it.refused);
        CHECK(peer.delivered == (it.refused ? 0 : 1));
    }
}

// Guards against a link to a busy entry that is closed again and again: the
// entry needs long until its first message and until its answer, which looks
// like a slow network until the round trip shows that it isn't.
TEST_CASE("tcp_link: a peer that is busy when the link is opened keeps it")
{
    struct row
    {
        duration until_first;
        duration until_answer;
    };
    const row rows[] = {{700ms, 1ms}, {700ms, 700ms}, {400ms, 500ms}};
    for (const auto& it : rows)
    {
        event_loop loop;
        const auto dialed = loop.now();
        raw_peer peer(dialed);
        peer.run(it.until_first);
        peer.write_nonce();
        peer.write_heartbeat(peer.loop.now());
        peer.write_message(document(1), peer.loop.now());
        peer.run(it.until_answer);
        peer.write_message(document(1), peer.loop.now());
        // The link has sent a heartbeat just before.
        const auto echoed = peer.loop.now();
        peer.write_heartbeat(echoed, echoed);
        peer.run(20ms);
        const auto sent = peer.loop.now();
        peer.write_message(order(1), sent);
        peer.run(20ms);
        CHECK_FALSE(peer.closed);
        CHECK(peer.delivered == 3);
        CHECK(peer.link->last_heard() > sent - 50ms);
    }
}

// Guards against the exception for busy peers: once an order was delivered, its
// runs must end when its entry falls silent.
TEST_CASE("tcp_link: after an order, silence counts from sending also without "
          "a round trip")
{
    event_loop loop;
    raw_peer peer(loop.now());
    peer.write_nonce();
    peer.write_heartbeat(peer.loop.now());
    peer.run(20ms);
    const auto sent = peer.loop.now();
    peer.write_message(order(1), sent);
    for (int i = 0; i < 6; ++i)
    {
        peer.run(200ms);
        if (!peer.closed)
        {
            peer.write_message(document(1), sent);
        }
    }
    CHECK(peer.delivered > 1);
    CHECK(peer.closed == make_error_code(errc::peer_silent));
}
