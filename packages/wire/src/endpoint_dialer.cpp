#include <agatebank/wire/endpoint_dialer.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace agatebank
{

namespace
{

constexpr duration initial_delay = std::chrono::milliseconds(100);
/// Shorter than the kernel's first time-out for retransmitting a lost SYN
/// (1 s, RFC 6298).
constexpr duration connect_timeout = std::chrono::milliseconds(300);
/// After a common power loss, machines start within a few hundred milliseconds
/// of each other, and a machine that is not up yet answers nothing. The first
/// attempts are short, so that a link opens soon after its peer has started.
constexpr unsigned quick_attempts = 4;
constexpr duration quick_connect_timeout = std::chrono::milliseconds(100);
/// The connector's resolution is whole seconds; the dialer's own timer always
/// expires first.
constexpr duration connector_timeout = std::chrono::seconds(1);
constexpr unsigned max_doublings = 5;
constexpr const char* step_dial = "link.dial";

} // namespace

duration dial_delay(unsigned failures, uint64_t random, duration max_delay)
{
    const auto doubled =
        initial_delay * (int64_t{1} << std::min(failures, max_doublings));
    const auto delay = std::min(doubled, max_delay);
    const auto half = static_cast<uint64_t>(delay.count() / 2);
    return delay / 2 + duration(static_cast<int64_t>(random % (half + 1)));
}

duration connect_time_limit(unsigned failures)
{
    return failures < quick_attempts ? quick_connect_timeout : connect_timeout;
}

endpoint_dialer::endpoint_dialer(timer_queue& timers,
                                 std::vector<endpoint> endpoints,
                                 random_source random, log_sink log,
                                 on_connected connected, duration max_delay,
                                 on_failed failed)
    : timers_(timers)
    , endpoints_(std::move(endpoints))
    , random_(std::move(random))
    , log_(std::move(log))
    , connected_(std::move(connected))
    , failed_(std::move(failed))
    , connector_(connector_timeout)
    , attempts_(endpoints_.size())
    , max_delay_(max_delay)
{
}

std::size_t endpoint_dialer::add(const endpoint& remote)
{
    endpoints_.push_back(remote);
    attempts_.emplace_back();
    return endpoints_.size() - 1;
}

void endpoint_dialer::dial(std::size_t index)
{
    if (stopped_)
    {
        return;
    }
    auto& a = attempts_[index];
    timers_.cancel(a.timer);
    a.timer = timers_.schedule(connect_time_limit(a.failures),
                               [this, index] { on_timeout(index); });
    a.connecting = connector_.connect(
        endpoints_[index],
        [this, index](result<object_ptr<GSocketConnection>> c)
        {
            if (c)
            {
                timers_.cancel(attempts_[index].timer);
                connected_(index, std::move(*c));
                return;
            }
            log_(to_record(log_level::debug, c.error()));
            retry_after_failure(index);
        });
}

void endpoint_dialer::on_timeout(std::size_t index)
{
    attempts_[index].connecting.reset();
    log_(to_record(
        log_level::debug,
        {make_error_code(errc::peer_unreachable), step_dial,
         endpoints_[index].to_string(),
         "not connected within " +
             std::to_string(
                 connect_time_limit(attempts_[index].failures).count()) +
             " us"}));
    retry_after_failure(index);
}

void endpoint_dialer::retry_after_failure(std::size_t index)
{
    schedule_dial(index);
    if (failed_)
    {
        failed_(index);
    }
}

void endpoint_dialer::schedule_dial(std::size_t index)
{
    if (stopped_)
    {
        return;
    }
    auto& a = attempts_[index];
    timers_.cancel(a.timer);
    const auto backoff_failures =
        a.failures < quick_attempts ? 0 : a.failures - quick_attempts;
    a.timer =
        timers_.schedule(dial_delay(backoff_failures, random_(), max_delay_),
                         [this, index] { dial(index); });
    ++a.failures;
}

void endpoint_dialer::reset_backoff(std::size_t index)
{
    attempts_[index].failures = 0;
}

void endpoint_dialer::cancel(std::size_t index)
{
    timers_.cancel(attempts_[index].timer);
    attempts_[index].connecting.reset();
}

void endpoint_dialer::stop()
{
    stopped_ = true;
    for (std::size_t index = 0; index < attempts_.size(); ++index)
    {
        cancel(index);
    }
}

const std::vector<endpoint>& endpoint_dialer::endpoints() const noexcept
{
    return endpoints_;
}

} // namespace agatebank
