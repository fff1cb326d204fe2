#include <agatebank/wire/peer_clock.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <limits>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

int64_t to_us(time_point t)
{
    return t.time_since_epoch().count();
}

// One end of a link, by its own clock.
struct link_end
{
    duration clock_offset;
    peer_clock remote;

    time_point own(time_point t) const
    {
        return t + clock_offset;
    }
};

// Sends a heartbeat at @p sent, which is handled at @p handled.
bool exchange_heartbeat(const link_end& from, link_end& to, time_point sent,
                        time_point handled)
{
    const auto beat = from.remote.next_heartbeat(from.own(sent));
    const bool answer = to.remote.on_heartbeat(beat, to.own(handled));
    to.remote.on_frame(beat.clock_us, to.own(handled));
    return answer;
}

} // namespace

// Guards against a link whose delays count as none since it was opened while
// its path was slow, and against one whose delays count as long for minutes
// since its peer was busy at that time.
TEST_CASE("peer_clock: the first heartbeats bound the delays on both sides")
{
    struct row
    {
        const char* name;
        duration one_way;
        duration busy; ///< of the accepting side, before its first heartbeat
    };
    const row rows[] = {{"fast", 1ms, 0ms},
                        {"busy peer", 1ms, 700ms},
                        {"slow path", 250ms, 0ms}};
    for (const auto& it : rows)
    {
        for (const auto offset : {duration(-30min), duration(9h)})
        {
            INFO(it.name << ", clocks differ by " << offset.count() << " us");
            auto now = start + it.one_way;
            link_end dialer{duration(0), peer_clock(now, start)};
            const auto accepted = now + it.busy;
            link_end accepter{offset, peer_clock(accepted + offset)};
            const auto connected = now;
            now = accepted + it.one_way;
            CHECK(exchange_heartbeat(accepter, dialer, accepted, now));
            exchange_heartbeat(dialer, accepter, connected, now);
            CHECK(dialer.remote.delay() == now - start);
            CHECK(dialer.remote.last_heard() == start);
            CHECK_FALSE(dialer.remote.is_measured());
            CHECK(exchange_heartbeat(dialer, accepter, now, now + it.one_way));
            now += it.one_way;
            CHECK(exchange_heartbeat(accepter, dialer, now, now + it.one_way));
            CHECK(dialer.remote.is_measured());
            CHECK(dialer.remote.round_trip() == 2 * it.one_way);
            CHECK(dialer.remote.delay() == 2 * it.one_way);
            now += it.one_way;
            exchange_heartbeat(dialer, accepter, now, now + it.one_way);
            CHECK(accepter.remote.delay() == 2 * it.one_way);
            now += it.one_way;
            CHECK_FALSE(
                exchange_heartbeat(accepter, dialer, now, now + it.one_way));
        }
    }
}

// Guards against a bound that is too high since a peer was paused between the
// begin of its iteration, whose time its frames carry, and its heartbeat.
TEST_CASE("peer_clock: a pause between the reading of a frame and its "
          "heartbeat doesn't shorten later delays")
{
    peer_clock local(start, start);
    heartbeat beat;
    beat.clock_us = to_us(start + 600ms);
    local.on_heartbeat(beat, start + 600ms);
    const auto before_pause = to_us(start - 50ms);
    CHECK(local.last_heard() == start);
    CHECK(local.on_frame(before_pause, start + 600ms) == 1250ms);
    CHECK(local.last_heard() == start - 650ms);
    beat.echo_us = to_us(start + 600ms);
    beat.clock_us = to_us(start + 1400ms);
    beat.echo_delay_us = duration(799ms).count();
    local.on_heartbeat(beat, start + 1401ms);
    CHECK(local.on_frame(to_us(start + 600ms), start + 1401ms) == 802ms);
    CHECK(local.round_trip() == 2ms);
}

// Guards against a peer whose echo is not one of the own readings, or whose
// times would overflow.
TEST_CASE("peer_clock: an echo that can't be right is ignored")
{
    using limits = std::numeric_limits<int64_t>;
    struct row
    {
        int64_t echo_us;
        int64_t echo_delay_us;
        bool valid;
    };
    const auto now = start + 1s;
    const row rows[] = {{to_us(start), 0, true},
                        {to_us(start), duration(1s).count(), true},
                        {to_us(start), duration(1s).count() + 1, false},
                        {to_us(start), -1, false},
                        {to_us(start), limits::min(), false},
                        {to_us(start), limits::max(), false},
                        {to_us(start) - 1, 0, false},
                        {to_us(now) + 1, 0, false},
                        {limits::min(), limits::min(), false},
                        {limits::max(), limits::max(), false},
                        {0, 0, false}};
    for (const auto& it : rows)
    {
        for (const auto clock_us : {limits::min(), int64_t{0}, limits::max()})
        {
            peer_clock clock(start);
            heartbeat beat;
            beat.clock_us = clock_us;
            beat.echo_us = it.echo_us;
            beat.echo_delay_us = it.echo_delay_us;
            clock.on_heartbeat(beat, now);
            CHECK(clock.is_measured() == it.valid);
            CHECK(clock.round_trip() >= 0ms);
            CHECK(clock.on_frame(clock_us, now) >= 0ms);
        }
    }
}
