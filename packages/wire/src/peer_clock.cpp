#include <agatebank/wire/peer_clock.hpp>

#include <algorithm>

namespace agatebank
{

namespace
{

int64_t to_us(time_point t)
{
    return t.time_since_epoch().count();
}

} // namespace

peer_clock::peer_clock(time_point opened) : last_heard_(opened) {}

duration peer_clock::on_frame(int64_t sent_us, time_point now)
{
    return delays_.observe(sent_us, now);
}

void peer_clock::on_heartbeat(const heartbeat& beat, time_point now)
{
    remote_us_ = beat.clock_us;
    remote_read_at_ = now;
    has_reading_ = true;
    if (beat.echo_us != 0)
    {
        const duration round_trip(to_us(now) - beat.echo_us -
                                  beat.echo_delay_us);
        min_round_trip_ = min_round_trip_.count() == 0
                              ? round_trip
                              : std::min(min_round_trip_, round_trip);
    }
}

void peer_clock::set_heard(time_point t)
{
    last_heard_ = std::max(last_heard_, t);
}

heartbeat peer_clock::next_heartbeat(time_point now) const
{
    heartbeat out;
    out.clock_us = to_us(now);
    if (has_reading_)
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

duration peer_clock::round_trip() const noexcept
{
    return min_round_trip_;
}

std::optional<int64_t> peer_clock::reading_us(time_point now) const
{
    if (!has_reading_)
    {
        return std::nullopt;
    }
    return remote_us_ + (now - remote_read_at_).count();
}

} // namespace agatebank
