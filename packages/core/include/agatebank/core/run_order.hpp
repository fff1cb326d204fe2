#pragma once

#include <agatebank/core/ids.hpp>
#include <agatebank/core/resources.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace agatebank
{

/// @brief Sequence number of a run order within one entry incarnation.
using order_id = strong_id<struct order_id_tag, uint64_t>;

/// @brief Requests an agent to run a task once.
struct run_order
{
    order_id id;
    uint32_t step = 0;
    uint32_t index = 0;      ///< of the task within its step
    uint32_t attempt = 1;    ///< increases with each order of the same task
    int64_t expected_us = 0; ///< expected run time at this target
    /// expected run time at a target of speed 1; 0: not learned yet
    int64_t reference_us = 0;
    /// no other run may be active at the target at the same time
    bool isolated = false;
    /// the agent must not return it only because it would end late
    bool keep = false;
    /// returned as not_run once its start is expected later than this after its
    /// receipt; 0: no limit
    int64_t max_wait_us = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(id, step, index, attempt, expected_us, reference_us, isolated, keep,
           max_wait_us);
    }
};

/// @brief Run orders of one step of one job for one agent. Times are relative
/// to the moment of sending, because clocks differ between processes.
struct run_batch
{
    /// the incarnation of the target whose properties the placement rests on;
    /// no other one may run the orders
    target_incarnation target;
    std::string job;   ///< id given by the caller
    std::string route; ///< name of the job's route
    std::string payload;
    resources task_resources; ///< resources needed by each task
    uint32_t priority = 0;
    int64_t objective_us = 0;    ///< a run that ends by then is on time
    int64_t useful_until_us = 0; ///< a result after it is useless to the caller
    int64_t deadline_us = 0;     ///< after it, no caller waits for the result
    std::vector<run_order> orders;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(target, job, route, payload, task_resources, priority, objective_us,
           useful_until_us, deadline_us, orders);
    }
};

/// @brief Outcome of a run order.
enum class run_outcome : uint8_t
{
    done,
    failed,        ///< the run failed
    stopped,       ///< the run was stopped
    stalled,       ///< stopped because it made too little progress
    not_run,       ///< not started at this target and never will be
    past_deadline, ///< not started because it could not end while useful
    target_lost,   ///< its target crashed, went silent or was cut off
    returned       ///< not started, would have ended after its objective
};

/// @brief Returns the name of an outcome, such as "not_run".
const char* to_word(run_outcome r) noexcept;

/// @brief Final report on a run order.
struct order_result
{
    order_id id;
    run_outcome outcome = run_outcome::not_run;
    int64_t run_us = 0;    ///< time at the target
    int64_t queued_us = 0; ///< time in the agent's queue
    /// further time that a returned order was expected to wait
    int64_t expected_wait_us = 0;
    /// the target was cold when the run started, so its time shows neither the
    /// usual speed of the target nor that of the route
    bool cold = false;
    /// time for which the run may go on at a lost target
    int64_t may_run_us = 0;

    template <class Archive>
    void serialize(Archive& ar)
    {
        ar(id, outcome, run_us, queued_us, expected_wait_us, cold, may_run_us);
    }
};

} // namespace agatebank
