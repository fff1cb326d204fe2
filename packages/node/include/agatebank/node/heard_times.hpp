#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/fleet/run_scheduler.hpp>

#include <deque>
#include <map>
#include <optional>

namespace agatebank
{

/// @brief Tracks when the entries with orders here sent their newest messages,
/// by the own clock. An entry's callers may have left since then. Does no I/O;
/// the time is passed in.
///
/// Load pattern: messages arrive late, and stop requests to the target are
/// lost. A cancellation that was under way for long tells of a caller that left
/// before it was sent, at any time since the message before it.
class heard_times
{
  public:
    // modifiers
    /// @brief Records that a link to an entry has opened, or that it delivered
    /// a message.
    /// @param sent when the newest message was sent
    void on_heard(order_source from, time_point sent);
    /// @brief Records that a link has closed. Its runs may not have ended yet.
    void on_closed(order_source from);
    /// @brief Records that orders of an entry are about to be cancelled by its
    /// newest message.
    void on_cancel(order_source from, time_point now);

    // lookup
    /// @brief When an entry sent its newest message; empty for one without a
    /// link.
    std::optional<time_point> newest(order_source from) const;
    /// @brief Since when callers of the runs at the target may have left
    /// without this being known, or known but the stop not confirmed.
    /// @return empty without runs; the clock's epoch, so that the lease is not
    /// extended, while there are runs whose entry is not known
    std::optional<time_point> oldest(const run_scheduler& runs);

  private:
    struct entry
    {
        time_point newest;
        time_point previous; ///< newest before it last changed
        bool open = true;
    };
    struct cancellation
    {
        time_point at;
        time_point left; ///< since when the callers may have left
    };

    std::map<order_source, entry> entries_;
    /// those whose stops may not be confirmed yet, in order of their time
    std::deque<cancellation> cancellations_;
};

} // namespace agatebank
