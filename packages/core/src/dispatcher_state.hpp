#pragma once

#include <agatebank/core/crash_history.hpp>
#include <agatebank/core/dispatcher.hpp>
#include <agatebank/core/job_queue.hpp>
#include <agatebank/core/offered_load.hpp>
#include <agatebank/core/probation_targets.hpp>
#include <agatebank/core/random_jitter.hpp>
#include <agatebank/core/retry_pacer.hpp>
#include <agatebank/core/run_time_estimator.hpp>
#include <agatebank/core/target_health.hpp>
#include <agatebank/core/target_table.hpp>
#include <agatebank/core/work_backlog.hpp>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

/// @file
/// Private state of the dispatcher. Its functions are defined in
/// dispatcher_admission.cpp, dispatcher_choice.cpp and dispatcher.cpp.

namespace agatebank
{

// An admitted job that has not been removed.
struct job_record
{
    job_request request;
    time_point deadline;
    backlog_bucket bucket;
    std::vector<run_time_prediction> expected; // by task
    std::size_t unsettled = 0;
    std::map<uint32_t, agent_incarnation> in_flight;
    bool has_answer = false; // of any task

    work total() const;
};

// Waiting and offered work of one service.
struct service_record
{
    work_backlog waiting;
    offered_load offered;
};

// Losses of one agent's target. Starts that are reported as lost shortly after
// each other were lost together.
struct loss_record
{
    uint64_t number = 0;
    time_point latest;
};

// Starts and losses of one caller's tasks of a service, decaying with time.
struct crash_rate
{
    double starts = 0;
    double losses = 0;
    time_point updated;

    void decay(time_point now);
    double losses_per_start() const;
};

// Sums over the fastest targets of a service.
struct fastest_group
{
    int min_step = 0;
    unsigned credits = 0;
    unsigned free = 0;
};

struct dispatcher::state
{
    explicit state(const dispatch_options& o);

    dispatch_options options;
    run_time_estimator times;
    health_monitor health;
    retry_pacer pacer;
    random_jitter jitter;
    target_table targets;
    std::unordered_map<job_key, job_record> jobs;
    std::set<std::pair<time_point, job_key>> deadlines; // of unsettled jobs
    std::map<caller_name, std::size_t> waiting_by_caller;
    std::map<service_name, service_record> services;
    job_queue queue;
    work in_flight_work{};
    crash_history crashes; // of callers, each with its service as a route
    std::map<agent_incarnation, loss_record> losses;
    std::map<route_name, crash_rate> crash_rates;
    std::vector<crash_report> unattributed_losses;
    std::map<service_name, std::set<agent_incarnation>> probation_targets;

    // crashes
    const std::set<agent_incarnation>&
    probation_of(const service_name& service);
    bool on_probation(const job_request& job, time_point now) const;
    // Whether the crashes of targets allow a start of this job at this target.
    bool keeps_probation(const target_record& t, const job_record& job,
                         time_point now);
    bool has_probation_target(const service_name& service);
    void count_start(const job_request& job, time_point now);
    void record_loss(task_ref task, const target_record& t, time_point now);
    // Attributes each loss to the caller there with the highest crash rate.
    void attribute_losses(time_point now);

    // targets
    bool may_start(const target_record& t, const job_record& job,
                   time_point now);
    bool may_probe(const job_record& job, agent_incarnation agent,
                   time_point now) const;
    double total_speed(const service_name& service) const;

    // admission
    duration run_bound(const job_record& job) const;
    std::optional<duration> start_lateness(const job_record& job, double speed,
                                           time_point now) const;
    bool meets_admitted_deadlines(const job_record& job, double speed,
                                  time_point now) const;
    admission refuse(duration retry_after);
    job_record make_record(const job_request& job, time_point now) const;
    void enqueue(job_record&& job);

    // starts
    target_record* choose(const job_record& job, uint32_t task,
                          unsigned skipped, queue_order order, time_point now);
    target_record* fastest(const job_record& job, time_point now);
    fastest_group fastest_targets(const service_name& service) const;
    target_record* slowest_in_time(const job_record& job, uint32_t task,
                                   queue_order order, time_point now);
    bool in_time(const job_record& job, uint32_t task, double speed,
                 time_point now) const;
    bool others_in_time(const job_record& job, uint32_t task,
                        time_point now) const;
    bool better_to_wait(const job_record& job, uint32_t task,
                        const target_record& best, unsigned skipped) const;
    bool is_most_expensive(const job_record& job, time_point now) const;
    assignment start(job_record& job, target_record& t, time_point now);
    duration slack_of(const service_name& service, time_point now) const;
    queue_order order_of(const service_name& service, duration slack) const;
    void assign_service(const service_name& service, time_point now,
                        std::vector<assignment>& out);
    std::optional<unreported_start> end_start(task_ref task,
                                              agent_incarnation agent);
    void settle(task_ref task);
};

} // namespace agatebank
