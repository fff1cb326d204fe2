#pragma once

#include <agatebank/core/target_interface.hpp>
#include <agatebank/core/units.hpp>

#include <cstdint>
#include <optional>
#include <set>

namespace agatebank
{

/// @brief What an agent does with an announcement.
enum class announcement_verdict : uint8_t
{
    update,     ///< of the followed incarnation
    adopt,      ///< of another incarnation, to be followed from now on
    delayed,    ///< older than what is known
    implausible ///< contradicts what the target itself answers
};

/// @brief Decides which announcements come from the agent's target. An
/// announcement may have been delayed, or written by another process. The
/// target's answers to calls are believed more than announcements.
///
/// Sequence numbers only increase, from any start and in any steps, so they
/// decide which of two announcements is newer and nothing else. That a target
/// drains holds for the rest of its incarnation, and is believed whatever the
/// number.
class announcement_filter
{
  public:
    // modifiers
    /// @brief Judges an announcement, and follows it if it is to be adopted.
    announcement_verdict judge(const target_announcement& announcement,
                               time_point now);
    /// @brief The target answered a call for the followed id.
    /// @param named incarnation that it named
    /// @return announcement of that incarnation, if it isn't followed yet and
    /// its announcement was held back; followed from now on
    std::optional<target_announcement> on_answer(target_incarnation named,
                                                 time_point now);
    /// @brief The target refused a call, as it has another id than the followed
    /// one.
    /// @return announcement with another id that was held back, if any;
    /// followed from now on
    std::optional<target_announcement> on_wrong_target(time_point now);
    /// @brief The target accepts no connections.
    void on_unreachable();
    /// @brief The followed target has deregistered: it is about to end.
    void on_deregistration();

    // lookup
    /// @brief Whether an announcement is of the followed incarnation.
    bool is_followed(const target_announcement& announcement) const;
    /// @brief Whether the followed incarnation drains or has deregistered. It
    /// no longer does after it has announced itself as ready, and nothing else,
    /// for some periods: then another process had written that it drains.
    bool draining() const noexcept;

  private:
    /// Which announcement of an incarnation that isn't followed is adopted.
    enum class belief : uint8_t
    {
        unknown,          ///< one that is not of an earlier incarnation
        other_target,     ///< one with another id
        other_incarnation ///< one of the incarnation that the target named
    };

    /// @brief Judges an announcement of the followed incarnation by its number.
    announcement_verdict judge_update(const target_announcement& announcement,
                                      time_point now);
    void note_drain(bool announced, bool is_newer, time_point now);
    bool may_adopt(const target_announcement& announcement) const;
    void follow(const target_announcement& announcement, time_point now);
    std::optional<target_announcement> take_held_back(time_point now);

    std::optional<target_announcement> followed_; ///< latest announcement
    time_point updated_;                          ///< when it arrived
    /// number that was given up for lower ones
    std::optional<uint64_t> given_up_;
    bool draining_ = false;
    /// incarnations that have drained, while others are followed
    std::set<target_incarnation> drained_;
    /// first announcement as ready since the last one as draining
    std::optional<time_point> ready_since_;
    /// until then, no other incarnation is adopted
    std::optional<time_point> trusted_until_;
    belief belief_ = belief::unknown;
    target_incarnation named_; ///< by the target, in its last answer
    /// latest announcement that was not adopted
    std::optional<target_announcement> held_back_;
};

} // namespace agatebank
