#pragma once

#include <agatebank/core/dispatcher.hpp>
#include <agatebank/core/job_queue.hpp>
#include <agatebank/core/offered_load.hpp>
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

    work total() const;
};

// Waiting and offered work of one service.
struct service_record
{
    work_backlog waiting;
    offered_load offered;
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

    // targets
    bool may_start(const target_record& t, const job_record& job,
                   time_point now) const;
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
