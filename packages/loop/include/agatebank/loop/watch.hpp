#pragma once

#include <agatebank/loop/object_ptr.hpp>
#include <agatebank/loop/timer_schedule.hpp>

#include <memory>

namespace agatebank
{

/// @brief Owns an active timer or signal handler; destroying it removes it. May
/// outlive the event loop.
class watch
{
  public:
    // construction
    watch() = default;
    explicit watch(source_ptr source);
    watch(std::weak_ptr<timer_schedule> timers, scheduled_id id);
    watch(watch&& other) noexcept;
    watch& operator=(watch&& other) noexcept;
    watch(const watch&) = delete;
    watch& operator=(const watch&) = delete;
    ~watch();

    // modifiers
    void reset() noexcept;

    // lookup
    /// @brief Whether it owns something; stays true after a one-shot timer has
    /// expired.
    explicit operator bool() const noexcept;

  private:
    source_ptr source_;
    std::weak_ptr<timer_schedule> timers_;
    scheduled_id id_; ///< 0: no timer
};

} // namespace agatebank
