#pragma once

#include <agatebank/core/units.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace agatebank::experiment
{

/// @brief Event queue of a discrete-event simulation, with its virtual clock.
/// Events with the same time run in the order in which they were added.
class event_heap
{
  public:
    using callback = std::function<void()>;

    // modifiers
    /// @brief Schedules @p fn to run @p delay from now. @complexity O(log n)
    void after(duration delay, callback fn);
    /// @brief Runs all events up to and including @p end and sets the clock to
    /// @p end.
    void run_until(time_point end);

    // lookup
    time_point now() const noexcept
    {
        return now_;
    }

  private:
    struct event
    {
        time_point at;
        uint64_t sequence_number;
        callback fn;
    };
    struct is_later
    {
        bool operator()(const event& a, const event& b) const
        {
            return a.at != b.at ? a.at > b.at
                                : a.sequence_number > b.sequence_number;
        }
    };

    std::vector<event> events_;
    uint64_t next_sequence_number_ = 0;
    time_point now_{};
};

} // namespace agatebank::experiment
