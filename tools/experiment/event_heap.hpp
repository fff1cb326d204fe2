#pragma once

#include <agatebank/core/units.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace agatebank::experiment
{

/// @brief A virtual clock with the events that move it. Events of the same
/// time run in the order in which they were added.
class event_heap
{
  public:
    using callback = std::function<void()>;

    // modifiers
    /// @brief Adds an event @p delay from now. @complexity O(log n)
    void after(duration delay, callback fn);
    /// @brief Runs the events up to @p end, which is the time afterwards.
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
        uint64_t number;
        callback fn;
    };
    struct is_later
    {
        bool operator()(const event& a, const event& b) const
        {
            return a.at != b.at ? a.at > b.at : a.number > b.number;
        }
    };

    std::vector<event> events_;
    uint64_t next_number_ = 0;
    time_point now_{};
};

} // namespace agatebank::experiment
