#include <agatebank/wire/peer_clock.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

/// The answer to the peer's first heartbeat measures the way from a peer that
/// may have been busy while the link was opened, the next one while it wasn't.
constexpr unsigned answered_heartbeats = 2;

int64_t to_us(time_point t)
{
    return t.time_since_epoch().count();
}

} // namespace

peer_clock::peer_clock(time_point opened, std::optional<time_point> dialed)
    : opened_(opened), dialed_(dialed), last_heard_(dialed.value_or(opened))
{
}

bool peer_clock::on_heartbeat(const heartbeat& beat, time_point now)
{
    remote_us_ = beat.clock_us;
    remote_read_at_ = now;
    ++heartbeats_;
    // Unlike the reading that its frame carries, this one was taken when the
    // heartbeat was sent.
    bound_by_dial(beat.clock_us, now);
    if (beat.echo_us != 0)
    {
        on_echo(beat, now);
    }
    return heartbeats_ <= answered_heartbeats;
}

duration peer_clock::on_frame(int64_t sent_us, time_point now)
{
    bound_by_dial(sent_us, now);
    const auto delay = delays_.observe(sent_us, now);
    const auto sent = now - delay;
    // The peer may have begun the iteration in which it accepted the link, and
    // read its sockets, before the link was dialed.
    last_heard_ =
        std::exchange(has_frames_, true) ? std::max(last_heard_, sent) : sent;
    return delay;
}

void peer_clock::on_echo(const heartbeat& beat, time_point now)
{
    const time_point echoed{duration(beat.echo_us)};
    if (echoed < opened_ || echoed > now || beat.echo_delay_us < 0 ||
        beat.echo_delay_us > (now - echoed).count())
    {
        return;
    }
    // What the peer's clock showed when it received the reading echoed.
    const auto received_us =
        static_cast<int64_t>(static_cast<uint64_t>(beat.clock_us) -
                             static_cast<uint64_t>(beat.echo_delay_us));
    delays_.bound(echoed, received_us, now);
    const auto round_trip = now - echoed - duration(beat.echo_delay_us);
    min_round_trip_ =
        std::min(min_round_trip_.value_or(round_trip), round_trip);
}

void peer_clock::bound_by_dial(int64_t reading_us, time_point now)
{
    if (dialed_)
    {
        delays_.bound(*dialed_, reading_us, now);
        dialed_.reset();
    }
}

heartbeat peer_clock::next_heartbeat(time_point now) const
{
    heartbeat out;
    out.clock_us = to_us(now);
    if (heartbeats_ != 0)
    {
        out.echo_us = remote_us_;
        out.echo_delay_us = (now - remote_read_at_).count();
    }
    return out;
}

duration peer_clock::delay() const noexcept
{
    return delays_.last();
}

time_point peer_clock::last_heard() const noexcept
{
    return last_heard_;
}

bool peer_clock::is_measured() const noexcept
{
    return min_round_trip_.has_value();
}

duration peer_clock::round_trip() const noexcept
{
    return min_round_trip_.value_or(duration(0));
}

std::optional<int64_t> peer_clock::reading_us(time_point now) const
{
    if (heartbeats_ == 0)
    {
        return std::nullopt;
    }
    return remote_us_ + (now - remote_read_at_).count();
}

} // namespace agatebank
