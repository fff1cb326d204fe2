#include <agatebank/node/waiting_callers.hpp>

#include <utility>

namespace agatebank
{

void waiting_callers::add(job_key job, job_caller caller)
{
    by_request_[caller.request] = job;
    by_job_[job] = std::move(caller);
}

void waiting_callers::attach(job_key job, job_caller caller)
{
    const auto it = by_job_.find(job);
    if (it == by_job_.end())
    {
        add(job, std::move(caller));
        return;
    }
    auto& waiting = it->second;
    if (caller.accepted && waiting.accepted &&
        *caller.accepted < *waiting.accepted)
    {
        caller.done({job_result::abandoned, {}});
        return;
    }
    by_request_.erase(waiting.request);
    by_request_[caller.request] = job;
    const auto earlier = std::exchange(waiting, std::move(caller));
    earlier.done({job_result::abandoned, {}});
}

std::optional<job_caller> waiting_callers::take(job_key job)
{
    const auto it = by_job_.find(job);
    if (it == by_job_.end())
    {
        return std::nullopt;
    }
    auto out = std::move(it->second);
    by_job_.erase(it);
    by_request_.erase(out.request);
    return out;
}

std::optional<job_key> waiting_callers::remove(uint64_t request)
{
    const auto it = by_request_.find(request);
    if (it == by_request_.end())
    {
        return std::nullopt;
    }
    const auto job = it->second;
    by_request_.erase(it);
    by_job_.erase(job);
    return job;
}

} // namespace agatebank
