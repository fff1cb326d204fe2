#include <agatebank/core/duration_math.hpp>
#include <agatebank/node/target_lease.hpp>

#include <algorithm>

namespace agatebank
{

namespace
{

/// After this share of the longest lease without an answer, the lease is no
/// longer extended.
constexpr double extension_cutoff_share = 0.65;
/// Longest time that the target takes to kill its runs when the lease expires.
constexpr duration max_kill_time = std::chrono::milliseconds(60);

/// Callers submit a job again this long after they closed their connection, of
/// which an entry tells its agents, unless it is silent.
constexpr duration caller_retry_delay = std::chrono::milliseconds(1300);

/// Orders that were under way for up to this long start at once, whatever lease
/// was granted before.
constexpr duration unhindered_order_delay = std::chrono::milliseconds(150);

} // namespace

target_lease::target_lease(lease_options options) : options_(options)
{
    options_.max_duration = std::min(
        options_.max_duration, longest_silence() - unhindered_order_delay);
}

void target_lease::on_extension_sent(duration extension, time_point now)
{
    last_extension_sent_ = now;
    granted_until_ = std::max(granted_until_, now + extension);
}

void target_lease::on_start_sent(duration validity, time_point now)
{
    last_extension_sent_ =
        std::max(last_extension_sent_, now + validity - options_.max_duration);
    granted_until_ = std::max(granted_until_, now + validity);
}

void target_lease::on_answer(target_time clock, time_point now)
{
    clock_ = clock;
    clock_at_ = now;
    last_answer_ = now;
}

void target_lease::reset()
{
    clock_.reset();
    last_answer_ = {};
}

std::optional<target_time> target_lease::clock(time_point now) const
{
    if (!clock_)
    {
        return std::nullopt;
    }
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - clock_at_);
    return target_time(clock_->value() + age.count());
}

bool target_lease::may_extend(time_point now) const
{
    return clock_ && now - last_answer_ <
                         scale(options_.max_duration, extension_cutoff_share);
}

duration target_lease::extension(std::optional<time_point> oldest_heard,
                                 time_point now) const
{
    if (!oldest_heard)
    {
        return options_.max_duration;
    }
    return std::min(options_.max_duration,
                    *oldest_heard + longest_silence() - now);
}

duration target_lease::longest_silence() const
{
    return scale(caller_retry_delay - max_kill_time,
                 1 / (1 + 2 * options_.clock_error));
}

bool target_lease::allows_start(time_point heard) const
{
    return granted_until_ <= heard + longest_silence();
}

bool target_lease::is_connected(time_point now) const
{
    return may_extend(now);
}

bool target_lease::has_expired(time_point now) const
{
    return now > expiry();
}

duration target_lease::time_left(time_point now) const
{
    return std::max(duration(0), expiry() - now);
}

time_point target_lease::expiry() const
{
    return last_extension_sent_ +
           scale(options_.max_duration, 1 + 2 * options_.clock_error) +
           max_kill_time;
}

duration target_lease::max_duration() const noexcept
{
    return options_.max_duration;
}

} // namespace agatebank
