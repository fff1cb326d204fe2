#include <agatebank/node/announcement_filter.hpp>

#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

/// A followed incarnation is kept for this long without an answer of the
/// target. A call and its time limit are shorter.
constexpr duration trust_duration = 1s;
/// Without a newer announcement for this long, which is two usual periods, an
/// announcement with a lower sequence number is not held for delayed.
constexpr duration sequence_timeout = 3s;
/// A target that has announced nothing but that it is ready for this long does
/// not drain.
constexpr duration drain_timeout = sequence_timeout;
/// Bounds memory; of the incarnations beyond, the earliest are forgotten.
constexpr std::size_t max_drained = 16;

} // namespace

// modifiers

announcement_verdict
announcement_filter::judge(const target_announcement& announcement,
                           time_point now)
{
    if (is_followed(announcement))
    {
        const auto verdict = judge_update(announcement, now);
        const bool is_newer = verdict == announcement_verdict::update;
        if (is_newer)
        {
            followed_ = announcement;
            updated_ = now;
        }
        note_drain(announcement.draining, is_newer, now);
        return verdict;
    }
    if (!followed_ ||
        (may_adopt(announcement) && (!trusted_until_ || now > *trusted_until_)))
    {
        follow(announcement, now);
        return announcement_verdict::adopt;
    }
    held_back_ = announcement;
    return announcement.profile.incarnation < followed_->profile.incarnation
               ? announcement_verdict::delayed
               : announcement_verdict::implausible;
}

std::optional<target_announcement>
announcement_filter::on_answer(target_incarnation named, time_point now)
{
    named_ = named;
    if (followed_ && named == followed_->profile.incarnation)
    {
        belief_ = belief::unknown;
        trusted_until_ = now + trust_duration;
        return std::nullopt;
    }
    belief_ = belief::other_incarnation;
    trusted_until_.reset();
    return take_held_back(now);
}

std::optional<target_announcement>
announcement_filter::on_wrong_target(time_point now)
{
    belief_ = belief::other_target;
    trusted_until_.reset();
    return take_held_back(now);
}

void announcement_filter::on_unreachable()
{
    belief_ = belief::unknown;
    trusted_until_.reset();
}

void announcement_filter::on_deregistration()
{
    draining_ = true;
    ready_since_.reset();
}

// lookup

bool announcement_filter::is_followed(
    const target_announcement& announcement) const
{
    return followed_ &&
           followed_->profile.target == announcement.profile.target &&
           followed_->profile.incarnation == announcement.profile.incarnation;
}

bool announcement_filter::draining() const noexcept
{
    return draining_;
}

announcement_verdict
announcement_filter::judge_update(const target_announcement& announcement,
                                  time_point now)
{
    const auto number = announcement.sequence;
    // A repeated call: the numbers of a target increase.
    if (number == followed_->sequence || number == given_up_)
    {
        return announcement_verdict::delayed;
    }
    if (number > followed_->sequence)
    {
        return announcement_verdict::update;
    }
    if (now - updated_ < sequence_timeout)
    {
        return announcement_verdict::delayed;
    }
    given_up_ = followed_->sequence;
    return announcement_verdict::update;
}

void announcement_filter::note_drain(bool announced, bool is_newer,
                                     time_point now)
{
    if (announced)
    {
        draining_ = true;
        ready_since_.reset();
    }
    else if (draining_ && is_newer)
    {
        ready_since_ = ready_since_.value_or(now);
        draining_ = now - *ready_since_ < drain_timeout;
        if (!draining_)
        {
            drained_.erase(followed_->profile.incarnation);
        }
    }
}

bool announcement_filter::may_adopt(
    const target_announcement& announcement) const
{
    const auto& followed = followed_->profile;
    switch (belief_)
    {
    case belief::other_target:
        return announcement.profile.target != followed.target;
    case belief::other_incarnation:
        return announcement.profile.incarnation == named_;
    case belief::unknown:
        break;
    }
    return announcement.profile.incarnation >= followed.incarnation;
}

void announcement_filter::follow(const target_announcement& announcement,
                                 time_point now)
{
    if (followed_ && draining_)
    {
        drained_.insert(followed_->profile.incarnation);
        if (drained_.size() > max_drained)
        {
            drained_.erase(drained_.begin());
        }
    }
    followed_ = announcement;
    updated_ = now;
    given_up_.reset();
    draining_ = announcement.draining ||
                drained_.count(announcement.profile.incarnation) != 0;
    ready_since_.reset();
    trusted_until_ = now + trust_duration;
    belief_ = belief::unknown;
    held_back_.reset();
}

std::optional<target_announcement>
announcement_filter::take_held_back(time_point now)
{
    if (!held_back_ || !followed_ || !may_adopt(*held_back_))
    {
        return std::nullopt;
    }
    const auto out = *std::exchange(held_back_, std::nullopt);
    follow(out, now);
    return out;
}

} // namespace agatebank
