#pragma once

#include <agatebank/core/units.hpp>
#include <agatebank/loop/event_loop.hpp>

#include <functional>

namespace agatebank
{

/// @brief Runs the loop until a condition is true.
/// @return false if @p timeout passed first
bool run_until(event_loop& loop, duration timeout,
               const std::function<bool()>& condition);

/// @brief Runs the loop for a fixed time.
void run_for(event_loop& loop, duration time);

} // namespace agatebank
