#include <agatebank/core/job_queue.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

void job_queue::service_queue::insert(const queue_position& position)
{
    by_start.insert(position);
    by_wait.insert(position);
}

void job_queue::service_queue::erase(const queue_position& position)
{
    by_start.erase(position);
    by_wait.erase(position);
}

void job_queue::add(const service_name& service, const queue_position& position,
                    std::vector<uint32_t> tasks)
{
    if (tasks.empty())
    {
        return;
    }
    std::reverse(tasks.begin(), tasks.end());
    auto& queue = services_[service];
    queue.insert(position);
    change_size(queue, static_cast<std::ptrdiff_t>(tasks.size()));
    jobs_[position.job] = {service, position, std::move(tasks)};
}

std::optional<uint32_t> job_queue::take(job_key job)
{
    const auto it = jobs_.find(job);
    if (it == jobs_.end() || it->second.tasks.empty())
    {
        return std::nullopt;
    }
    const auto task = it->second.tasks.back();
    it->second.tasks.pop_back();
    auto& queue = services_.at(it->second.service);
    change_size(queue, -1);
    if (it->second.tasks.empty())
    {
        queue.erase(it->second.position);
    }
    return task;
}

bool job_queue::put_back(job_key job, uint32_t task)
{
    const auto it = jobs_.find(job);
    if (it == jobs_.end())
    {
        return false;
    }
    auto& queue = services_.at(it->second.service);
    it->second.tasks.push_back(task);
    queue.insert(it->second.position);
    change_size(queue, 1);
    return true;
}

std::vector<uint32_t> job_queue::remove(job_key job)
{
    const auto it = jobs_.find(job);
    if (it == jobs_.end())
    {
        return {};
    }
    auto tasks = std::move(it->second.tasks);
    auto& queue = services_.at(it->second.service);
    queue.erase(it->second.position);
    change_size(queue, -static_cast<std::ptrdiff_t>(tasks.size()));
    jobs_.erase(it);
    return tasks;
}

std::optional<queue_position> job_queue::first(const service_name& service,
                                               queue_order order) const
{
    const auto it = services_.find(service);
    if (it == services_.end() || it->second.by_start.empty())
    {
        return std::nullopt;
    }
    return order == queue_order::latest_start ? *it->second.by_start.begin()
                                              : *it->second.by_wait.begin();
}

std::optional<queue_position> job_queue::after(const service_name& service,
                                               const queue_position& position,
                                               queue_order order) const
{
    const auto it = services_.find(service);
    if (it == services_.end())
    {
        return std::nullopt;
    }
    const auto next_in = [&](const auto& set)
    {
        const auto next = set.upper_bound(position);
        return next == set.end() ? std::nullopt : std::optional(*next);
    };
    return order == queue_order::latest_start ? next_in(it->second.by_start)
                                              : next_in(it->second.by_wait);
}

std::optional<uint32_t> job_queue::peek(job_key job) const
{
    const auto it = jobs_.find(job);
    if (it == jobs_.end() || it->second.tasks.empty())
    {
        return std::nullopt;
    }
    return it->second.tasks.back();
}

std::vector<service_name> job_queue::services() const
{
    std::vector<service_name> out;
    for (const auto& [service, queue] : services_)
    {
        if (queue.size > 0)
        {
            out.push_back(service);
        }
    }
    return out;
}

std::size_t job_queue::size(const service_name& service) const
{
    const auto it = services_.find(service);
    return it == services_.end() ? 0 : it->second.size;
}

std::size_t job_queue::size(job_key job) const
{
    const auto it = jobs_.find(job);
    return it == jobs_.end() ? 0 : it->second.tasks.size();
}

void job_queue::change_size(service_queue& queue, std::ptrdiff_t n)
{
    queue.size += static_cast<std::size_t>(n);
    size_ += static_cast<std::size_t>(n);
}

} // namespace agatebank
