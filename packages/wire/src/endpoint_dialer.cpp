#include <agatebank/wire/endpoint_dialer.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace agatebank
{

namespace
{

constexpr duration first_delay = std::chrono::milliseconds(100);
/// Sooner than the kernel sends a lost opening packet again (1 s, RFC 6298).
constexpr duration connect_timeout = std::chrono::milliseconds(300);
/// The connector counts in whole seconds; the dialer's timer comes first.
constexpr duration connector_timeout = std::chrono::seconds(1);
constexpr unsigned max_doublings = 5;
constexpr const char* step_dial = "link.dial";

} // namespace

duration dial_delay(unsigned failures, uint64_t random, duration longest)
{
    const auto doubled =
        first_delay * (int64_t{1} << std::min(failures, max_doublings));
    const auto delay = std::min(doubled, longest);
    const auto half = static_cast<uint64_t>(delay.count() / 2);
    return delay / 2 + duration(static_cast<int64_t>(random % (half + 1)));
}

endpoint_dialer::endpoint_dialer(timer_queue& timers,
                                 std::vector<endpoint> entries,
                                 random_source random, log_sink log,
                                 on_connected connected, duration longest_delay)
    : timers_(timers)
    , entries_(std::move(entries))
    , random_(std::move(random))
    , log_(std::move(log))
    , connected_(std::move(connected))
    , connector_(connector_timeout)
    , attempts_(entries_.size())
    , longest_delay_(longest_delay)
{
}

std::size_t endpoint_dialer::add(const endpoint& remote)
{
    entries_.push_back(remote);
    attempts_.emplace_back();
    return entries_.size() - 1;
}

void endpoint_dialer::dial(std::size_t entry)
{
    if (stopped_)
    {
        return;
    }
    auto& a = attempts_[entry];
    timers_.cancel(a.timer);
    a.timer =
        timers_.schedule(connect_timeout, [this, entry] { on_timeout(entry); });
    a.connecting = connector_.connect(
        entries_[entry],
        [this, entry](result<object_ptr<GSocketConnection>> c)
        {
            if (c)
            {
                timers_.cancel(attempts_[entry].timer);
                connected_(entry, std::move(*c));
                return;
            }
            log_(to_record(log_level::debug, c.error()));
            dial_later(entry);
        });
}

void endpoint_dialer::on_timeout(std::size_t entry)
{
    attempts_[entry].connecting.reset();
    log_(to_record(log_level::debug,
                   {make_error_code(errc::peer_unreachable), step_dial,
                    entries_[entry].to_string(), "no answer in time"}));
    dial_later(entry);
}

void endpoint_dialer::dial_later(std::size_t entry)
{
    if (stopped_)
    {
        return;
    }
    auto& a = attempts_[entry];
    timers_.cancel(a.timer);
    a.timer =
        timers_.schedule(dial_delay(a.failures, random_(), longest_delay_),
                         [this, entry] { dial(entry); });
    ++a.failures;
}

void endpoint_dialer::reset(std::size_t entry)
{
    attempts_[entry].failures = 0;
}

void endpoint_dialer::pause(std::size_t entry)
{
    timers_.cancel(attempts_[entry].timer);
    attempts_[entry].connecting.reset();
}

void endpoint_dialer::stop()
{
    stopped_ = true;
    for (std::size_t entry = 0; entry < attempts_.size(); ++entry)
    {
        pause(entry);
    }
}

const std::vector<endpoint>& endpoint_dialer::entries() const noexcept
{
    return entries_;
}

} // namespace agatebank
