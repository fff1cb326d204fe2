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
constexpr double least_speed_share = 0.05; // for the longest waits
constexpr double least_even_share = 0.5;   // of an entry under contention
constexpr double admission_margin = 0.2;   // of the wait, but the shortest

// Tasks of a job, the longest first, so that the job's end is not delayed by
// a long task that began last.
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

// Speed of the slots that this entry may count on: those it has, or its even
// share of all targets. While tasks wait it has asked for all that it can
// get, and only part of the even share is sure.
double dispatcher::state::total_speed(const service_name& service) const
{
    const auto& v = targets.view(service);
    const double even = v.slots_speed / std::max(options.entries, 1U);
    const double least = queue.size() > 0 ? least_even_share * even : even;
    return std::max(v.granted_speed, least);
}

// Time that a job's longest task is allowed for: the round trip and the high
// quantile of its run time, but not more than half of the wait as long as the
// expected run time fits.
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

bool dispatcher::state::is_dearest(const job_record& job, time_point now) const
{
    if (job.request.never_delay)
    {
        return true;
    }
    const auto it = services.find(job.request.service);
    return it == services.end() ||
           it->second.offered.is_shortest(job.request.wait, now);
}

// How much too late the last task of a job would begin; nothing when in time.
// Capacity that shorter waits are expected to take is left out.
std::optional<duration> dispatcher::state::excess_wait(const job_record& job,
                                                       double speed,
                                                       time_point now) const
{
    work ahead = in_flight_work + job.total();
    double taken = 0;
    const auto& sharing = targets.view(job.request.service).sharing;
    for (const auto& [service, record] : services)
    {
        if (sharing.count(service) != 0)
        {
            ahead += record.waiting.ahead_of(job.place);
            taken += job.request.never_delay
                         ? 0
                         : record.offered.rate_below(job.request.wait, now);
        }
    }
    const double left = std::max(speed - taken, least_speed_share * speed);
    const auto margin =
        is_dearest(job, now)
            ? duration::zero()
            : duration(static_cast<int64_t>(
                  admission_margin *
                  static_cast<double>(job.request.wait.count())));
    const auto begins = now + time_for(ahead, left) + margin;
    if (begins <= job.place.latest_start)
    {
        return std::nullopt;
    }
    return begins - job.place.latest_start;
}

bool dispatcher::state::keeps_promises(const job_record& job, double speed,
                                       time_point now) const
{
    const auto extra = job.total();
    const auto& sharing = targets.view(job.request.service).sharing;
    for (const auto& [service, record] : services)
    {
        if (sharing.count(service) != 0 &&
            !record.waiting.fits(job.place, extra, in_flight_work, speed, now))
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
    out.place = work_backlog::place_of(!job.never_delay,
                                       out.deadline - run_bound(out), job.wait);
    return out;
}

void dispatcher::state::enqueue(job_record&& job)
{
    const auto key = job.request.key;
    const auto& service = job.request.service;
    services[service].waiting.add(job.place, job.total());
    waiting_of[job.request.caller] += job.expected.size();
    queue.add(
        service,
        {job.place.delayable, job.request.wait, job.place.latest_start, key},
        longest_first(job.expected));
    deadlines.insert({job.deadline, key});
    jobs.emplace(key, std::move(job));
}

} // namespace agatebank
