#include <agatebank/fleet/ended_submissions.hpp>

#include <utility>

namespace agatebank
{

void ended_submissions::put(const std::string& job,
                            std::vector<stopping_task> stopping, time_point now)
{
    erase(job);
    size_ += 1 + stopping.size();
    by_job_[job] = {{now, std::move(stopping)}, ++last_number_};
    order_.push_back({now, last_number_, job});
    while (is_outdated(order_.front(), now))
    {
        const auto oldest = std::move(order_.front());
        order_.pop_front();
        const auto it = by_job_.find(oldest.job);
        if (it != by_job_.end() && it->second.number == oldest.number)
        {
            erase(oldest.job);
        }
    }
}

// The newest submission is kept, also if it alone exceeds the size.
bool ended_submissions::is_outdated(const position& oldest,
                                    time_point now) const
{
    return order_.size() > 1 && (now - oldest.ended > retention ||
                                 size_ > max_size || order_.size() > max_size);
}

void ended_submissions::erase(const std::string& job)
{
    const auto it = by_job_.find(job);
    if (it != by_job_.end())
    {
        size_ -= 1 + it->second.submission.stopping.size();
        by_job_.erase(it);
    }
}

const ended_submission* ended_submissions::find(const std::string& job,
                                                time_point now) const
{
    const auto it = by_job_.find(job);
    return it == by_job_.end() || now - it->second.submission.ended > retention
               ? nullptr
               : &it->second.submission;
}

std::size_t ended_submissions::size() const noexcept
{
    return size_;
}

} // namespace agatebank
