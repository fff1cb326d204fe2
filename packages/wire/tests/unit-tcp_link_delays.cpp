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
