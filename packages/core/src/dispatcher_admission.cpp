#include "dispatcher_state.hpp"
#include <agatebank/core/error.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;

constexpr duration shortest_retry_after = 100ms;
constexpr duration longest_retry_after = 10s;
// Share of the speed that remains for longer waits however much work shorter
// waits offer.
constexpr double min_speed_share = 0.05;
// Part of its even share of the targets that an entry counts on while entries
// compete for slots.
constexpr double min_even_share = 0.5;
// Safety margin as a share of the wait; the shortest waits have none.
constexpr double admission_margin = 0.2;

// Returns the tasks of a job, longest first, so that no long task starts
// last and delays the end of the job.
std::vector<uint32_t> longest_first(const std::vector<run_time_prediction>& all)
{
    std::vector<uint32_t> out(all.size());
    std::iota(out.begin(), out.end(), 0U);
    std::stable_sort(out.begin(), out.end(),
                     [&](uint32_t a, uint32_t b)
                     { return all[a].mean > all[b].mean; });
    return out;
}

} // namespace

work job_record::total() const
{
    work sum{};
    for (const auto& it : expected)
    {
        sum += it.mean;
    }
    return sum;
}

// Total speed of the slots that this entry can rely on: the granted ones or its
// even share of all slots, whichever is more. While tasks wait, the entry has
// already requested all the slots it can get, so only part of the even share
// is certain.
double dispatcher::state::total_speed(const service_name& service) const
{
    const auto& v = targets.view(service);
    const double even_share = v.slots_speed / std::max(options.entries, 1U);
    const double min_speed =
        queue.size() > 0 ? min_even_share * even_share : even_share;
    return std::max(v.granted_speed, min_speed);
}

// Time reserved for a job's longest task: the round trip plus the high quantile
// of its run time, which is limited to half of the wait or to the expected run
// time, whichever is longer.
duration dispatcher::state::run_bound(const job_record& job) const
{
    duration mean{};
    duration high{};
    for (const auto& it : job.expected)
    {
        mean = std::max(mean, it.mean);
        high = std::max(high, it.high);
    }
    const auto& v = targets.view(job.request.service);
    return 2 * v.longest_delay + std::min(time_for(high, v.mean_speed),
                                          std::max(time_for(mean, v.mean_speed),
                                                   job.request.wait / 2));
}

bool dispatcher::state::is_most_expensive(const job_record& job,
                                          time_point now) const
{
    if (job.request.never_delay)
    {
        return true;
    }
    const auto it = services.find(job.request.service);
    return it == services.end() ||
           it->second.offered.is_shortest(job.request.wait, now);
}

// Returns how late the last task of a job would begin, or nothing if it would
// begin in time. Capacity that shorter waits are expected to use is not
// counted.
std::optional<duration> dispatcher::state::start_lateness(const job_record& job,
                                                          double speed,
                                                          time_point now) const
{
    work ahead = in_flight_work + job.total();
    double expected_use = 0;
    const auto& sharing = targets.view(job.request.service).sharing;
    for (const auto& [service, record] : services)
    {
        if (sharing.count(service) != 0)
        {
            ahead += record.waiting.ahead_of(job.bucket);
            expected_use +=
                job.request.never_delay
                    ? 0
                    : record.offered.rate_below(job.request.wait, now);
        }
    }
    const double remaining =
        std::max(speed - expected_use, min_speed_share * speed);
    const auto margin =
        is_most_expensive(job, now)
            ? duration::zero()
            : duration(static_cast<int64_t>(
                  admission_margin *
                  static_cast<double>(job.request.wait.count())));
    const auto start_time = now + time_for(ahead, remaining) + margin;
    if (start_time <= job.bucket.latest_start)
    {
        return std::nullopt;
    }
    return start_time - job.bucket.latest_start;
}

bool dispatcher::state::meets_admitted_deadlines(const job_record& job,
                                                 double speed,
                                                 time_point now) const
{
    const auto extra = job.total();
    const auto& sharing = targets.view(job.request.service).sharing;
    for (const auto& [service, record] : services)
    {
        if (sharing.count(service) != 0 &&
            !record.waiting.fits(job.bucket, extra, in_flight_work, speed, now))
        {
            return false;
        }
    }
    return true;
}

admission dispatcher::state::refuse(duration retry_after)
{
    const auto pause =
        std::clamp(retry_after, shortest_retry_after, longest_retry_after);
    return {errc::wait_unattainable, jitter.spread(pause), {}};
}

job_record dispatcher::state::make_record(const job_request& job,
                                          time_point now) const
{
    job_record out;
    out.request = job;
    out.deadline = now + job.wait;
    out.unsettled = job.tasks.size();
    for (const auto& it : job.tasks)
    {
        out.expected.push_back(
            times.predict(job.service, it.declared_run_time));
    }
    out.bucket = work_backlog::bucket_of(
        !job.never_delay, out.deadline - run_bound(out), job.wait);
    return out;
}

void dispatcher::state::enqueue(job_record&& job)
{
    const auto key = job.request.key;
    const auto& service = job.request.service;
    services[service].waiting.add(job.bucket, job.total());
    waiting_by_caller[job.request.caller] += job.expected.size();
    queue.add(
        service,
        {job.bucket.delayable, job.request.wait, job.bucket.latest_start, key},
        longest_first(job.expected));
    deadlines.insert({job.deadline, key});
    jobs.emplace(key, std::move(job));
}

} // namespace agatebank
