#pragma once

#include <agatebank/core/units.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace agatebank
{

/// @brief The expectation about one task at one place. Times are relative to
/// now.
struct place_forecast
{
    duration start{}; ///< expected start of the run, after queueing
    duration end{};   ///< expected end, until the answer reaches the caller
    duration run{};   ///< expected run time of one task
    /// standard deviation of the end relative to the objective
    duration spread{};
};

/// @brief The expectations about a task whose data is in one rack.
struct locality_input
{
    std::optional<place_forecast> near;      ///< best place in the data's rack
    std::optional<place_forecast> elsewhere; ///< best place outside it
    duration objective{};                    ///< until then an end is on time
    duration last_useful{}; ///< until then the answer is useful
    /// processor need of all tasks over the capacity, of the known targets of
    /// the service; above 1 the service is overloaded
    double utilisation = 0;
    bool may_wait = true; ///< false: the task has already waited once
};

/// @brief Where a task whose data is in one rack runs.
enum class locality_action : uint8_t
{
    run_near,  ///< near the data, where a run starts no later than elsewhere
    wait_near, ///< near the data, where a run starts later than elsewhere
    run_elsewhere
};

/// @brief Result of the decision how long a task waits near its data.
struct locality_decision
{
    locality_action action = locality_action::run_elsewhere;
    /// longest time from now to the start near the data; 0 if there is no other
    /// place, or if the task runs elsewhere
    duration granted{};
    /// expected value near the data less that elsewhere, in values of a task
    /// that ends on time
    double gain = 0;
};

/// @brief A decision with the expectations that it rests on.
struct locality_choice
{
    locality_input input;
    locality_decision decision;
};

/// @brief Formats a choice for the log, with times in milliseconds.
std::string to_text(const locality_choice& choice);

/// @brief Decides where a task runs.
using locality_rule = std::function<locality_decision(const locality_input&)>;

/// @brief Returns the expected value of a task at a place, from 0 to 1: 1 if it
/// ends by the objective, a fifth if it ends by the last useful end.
///
/// The end is taken as normally distributed.
double expected_value(const place_forecast& place, const locality_input& input);

/// @brief Decides whether a task runs near its data now, waits for a place near
/// it up to a granted time, or runs elsewhere, where its run takes longer.
///
/// Load pattern: many jobs for one rack at once; a rack of which half is lost;
/// a lightly loaded service with one busy rack.
///
/// A task waits while the expected gain is positive. The gain is the expected
/// value near the data less that elsewhere, plus the value that the longer run
/// takes from other jobs. This cost is the value of the tasks that could run in
/// the additional time, times the share of the demand that exceeds the
/// service's capacity; it is 0 while there is free capacity. The granted time
/// is the latest start near the data at which the gain is not negative.
locality_decision decide_locality(const locality_input& input);

/// @brief Returns whether the order of a task whose wait was given up starts
/// behind all other orders of its target.
///
/// Load pattern: a burst beyond the service's capacity, with many jobs for one
/// rack. Such a task has less time left than without the wait, and agents start
/// the order with the least time left first, so the wait would delay work that
/// has not waited. Up to a utilisation of 1 there is capacity for both.
bool starts_behind_others(const locality_input& input);

} // namespace agatebank
