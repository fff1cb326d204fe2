#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/room.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Number of an order among those of one entry incarnation.
using order_id = strong_id<struct order_id_tag, uint64_t>;

/// @brief Asks an agent to run one task once.
struct run_order
{
    order_id id;
    uint32_t step = 0;
    uint32_t index = 0;      ///< of the task in its step
    uint32_t attempt = 1;    ///< rises with each order of the same task
    int64_t expected_us = 0; ///< run time expected on this target

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(id, step, index, attempt, expected_us);
    }
};

/// @brief Orders of one step of one job for one agent. Times are from the
/// moment of sending, since clocks differ between processes.
struct run_batch
{
    std::string job; ///< the caller's id of the job
    std::string payload;
    room each;
    uint32_t priority = 0;
    int64_t objective_us = 0; ///< the time until which an end is on time
    int64_t useful_us = 0;    ///< the time after which an end is of no use
    int64_t deadline_us = 0;  ///< past it nobody waits for the answer
    std::vector<run_order> orders;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(job, payload, each, priority, objective_us, useful_us, deadline_us,
           orders);
    }
};

/// @brief How an order ended.
enum class run_outcome : uint8_t
{
    done,
    failed,       ///< the run ended with a failure
    stopped,      ///< the run was stopped, or ended with its lease
    stalled,      ///< stopped since it made too little progress
    not_run,      ///< never started at this target, and never will be
    past_deadline ///< not started since it could not end in time
};

/// @brief The word of a result, such as "not_run".
const char* to_word(run_outcome r) noexcept;

/// @brief The final report of an order.
struct run_end
{
    order_id id;
    run_outcome outcome = run_outcome::not_run;
    int64_t run_us = 0;    ///< time at the target
    int64_t queued_us = 0; ///< time in the agent's queue

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(id, outcome, run_us, queued_us);
    }
};

} // namespace agatebank
