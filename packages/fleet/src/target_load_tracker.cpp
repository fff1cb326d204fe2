#include <agatebank/fleet/target_load_tracker.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace agatebank
{

target_load_tracker::target_load_tracker(target_profile profile)
    : profile_(std::move(profile))
{
}

bool target_load_tracker::set_load(const target_load& load,
                                   std::optional<time_point> now)
{
    reported_at_ = now;
    const bool changed = load.accepts_work != reported_acceptance_ ||
                         load.suspect != load_.suspect ||
                         load.cold != load_.cold ||
                         (load.slowdown > 1) != (load_.slowdown > 1) ||
                         (load.hang_share > 0) != (load_.hang_share > 0);
    load_ = load;
    reported_acceptance_ = load.accepts_work;
    load_.accepts_work = reported_acceptance_ && !evacuated_;
    if (load.capacity != resources())
    {
        profile_.capacity = load.capacity;
    }
    while (!unreported_orders_.empty() &&
           unreported_orders_.begin()->first.value() <=
               load.last_order_received)
    {
        remove_order(unreported_orders_.begin()->first);
    }
    return changed;
}

void target_load_tracker::add_order(order_id id,
                                    const resources& task_resources,
                                    std::size_t band, duration expected_run)
{
    unreported_orders_[id] = {task_resources, band, expected_run};
    unreported_cpu_millis_ += task_resources.cpu_millis;
    unreported_run_ += expected_run;
}

void target_load_tracker::remove_order(order_id id)
{
    const auto it = unreported_orders_.find(id);
    if (it != unreported_orders_.end())
    {
        unreported_cpu_millis_ -= it->second.task_resources.cpu_millis;
        unreported_run_ -= it->second.expected_run;
        unreported_orders_.erase(it);
    }
}

void target_load_tracker::set_next_probe(time_point t)
{
    next_probe_ = t;
}

void target_load_tracker::set_evacuated(bool evacuated)
{
    evacuated_ = evacuated;
    load_.accepts_work = reported_acceptance_ && !evacuated_;
}

const target_profile& target_load_tracker::profile() const noexcept
{
    return profile_;
}

const target_load& target_load_tracker::load() const noexcept
{
    return load_;
}

std::optional<time_point> target_load_tracker::reported_at() const noexcept
{
    return reported_at_;
}

bool target_load_tracker::has_label(const std::string& label) const
{
    const auto& labels = profile_.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool target_load_tracker::is_evacuated() const noexcept
{
    return evacuated_;
}

duration target_load_tracker::expected_wait(const resources& task_resources,
                                            std::size_t band,
                                            int64_t extra_cpu_millis) const
{
    const int64_t capacity = std::max<int64_t>(1, profile_.capacity.cpu_millis);
    int64_t ahead =
        load_.used.cpu_millis + unreported_cpu_millis_ + extra_cpu_millis;
    for (std::size_t i = 0; i <= band; ++i)
    {
        ahead += load_.queued_cpu_millis[i];
    }
    const int64_t excess = ahead + task_resources.cpu_millis - capacity;
    if (excess <= 0)
    {
        return duration(0);
    }
    // A full target frees its whole capacity once per mean run time.
    return duration(static_cast<int64_t>(static_cast<double>(excess) /
                                         static_cast<double>(capacity) *
                                         mean_run_us()));
}

double target_load_tracker::mean_run_us() const noexcept
{
    if (load_.mean_run_us != 0 || unreported_orders_.empty())
    {
        return static_cast<double>(load_.mean_run_us);
    }
    return static_cast<double>(unreported_run_.count()) /
           static_cast<double>(unreported_orders_.size());
}

int64_t target_load_tracker::cpu_demand_millis() const noexcept
{
    return std::accumulate(load_.queued_cpu_millis.begin(),
                           load_.queued_cpu_millis.end(),
                           load_.used.cpu_millis + unreported_cpu_millis_);
}

double
target_load_tracker::utilisation_with(const resources& task_resources) const
{
    const auto cpu = cpu_demand_millis() + task_resources.cpu_millis;
    return static_cast<double>(cpu) / static_cast<double>(std::max<int64_t>(
                                          1, profile_.capacity.cpu_millis));
}

std::vector<agent_incarnation> agents_of(const target_map& targets,
                                         const service_name& service)
{
    std::vector<agent_incarnation> out;
    for (const auto& [agent, target] : targets)
    {
        if (target.profile().service == service && !target.is_evacuated())
        {
            out.push_back(agent);
        }
    }
    return out;
}

bool target_load_tracker::may_probe(time_point now) const
{
    return now >= next_probe_;
}

} // namespace agatebank
