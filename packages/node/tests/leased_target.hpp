#pragma once

#include "simulated_network.hpp"
#include <agatebank/core/target_interface.hpp>

#include <map>
#include <string>

namespace agatebank
{

/// @brief The rules of docs/design/late-input.md that a target follows.
struct target_rules
{
    bool refuse_late_starts = true; ///< that arrive after start_before
    bool stop_fences = true;        ///< a stop makes an earlier start void
    bool lease_ends = true;         ///< all runs end with the lease
};

/// @brief Callbacks on the runs of a leased_target.
struct run_observer
{
    std::function<void(const run_id&, const std::string& payload)> on_start;
    std::function<void(const run_id&)> on_end;
};

/// @brief Models a target by its documented behaviour: runs under a lease, on
/// a clock of its own that may be slow. A call never shortens the lease.
class leased_target
{
  public:
    using respond_fn = std::function<void(const lease_answer&)>;

    leased_target(event_queue& events, random_choice& random,
                  target_rules rules, run_observer observer)
        : events_(events)
        , random_(random)
        , rules_(rules)
        , observer_(std::move(observer))
        , clock_rate_(1 - static_cast<double>(random.below(21)) / 1000)
        , clock_offset_(static_cast<int64_t>(random.below(1000000)))
    {
    }

    start_answer start(const start_request& rq)
    {
        const auto& task = rq.id.task;
        if (const auto it = runs_.find(task); it != runs_.end())
        {
            return it->second.run == rq.id.run ? start_answer::accepted
                                               : start_answer::superseded;
        }
        if (fences_[task] >= rq.id.run)
        {
            return start_answer::superseded;
        }
        if (rules_.refuse_late_starts && rq.start_before < clock())
        {
            return start_answer::expired;
        }
        if (runs_.size() >= capacity_in_tasks)
        {
            return start_answer::no_capacity;
        }
        runs_[task] = {rq.id.run};
        observer_.on_start(rq.id, rq.payload);
        extend(rq.start_before);
        const auto status = random_.percent(10) ? ended_run_status::failed
                                                : ended_run_status::done;
        end_later(rq.id, random_.between(ms(300), ms(4000)), status);
        return start_answer::accepted;
    }

    void stop(const run_id& id)
    {
        if (rules_.stop_fences)
        {
            fence(id);
        }
        end_later(id, random_.between(ms(0), max_stop_time),
                  ended_run_status::stopped);
    }

    /// @brief Extends the lease, and answers once a run has ended or the
    /// request's wait is over.
    void extend(const lease_request& rq, respond_fn respond)
    {
        std::erase_if(ended_, [&rq](const ended_run& it)
                      { return it.position <= rq.last_end_seen; });
        if (rq.lease_until)
        {
            extend(*rq.lease_until);
        }
        if (rq.wait.count() == 0 || !ended_.empty())
        {
            respond(answer());
            return;
        }
        const auto n = ++last_waiting_;
        waiting_[n] = std::move(respond);
        events_.at(rq.wait,
                   [this, n]
                   {
                       if (const auto it = waiting_.extract(n); !it.empty())
                       {
                           it.mapped()(answer());
                       }
                   });
    }

    target_time clock() const
    {
        const auto age = std::chrono::duration<double, std::milli>(
            events_.now().time_since_epoch());
        return target_time(clock_offset_ +
                           static_cast<int64_t>(age.count() * clock_rate_));
    }

  private:
    using ms = std::chrono::milliseconds;

    static constexpr std::size_t capacity_in_tasks = 16;
    static constexpr duration max_stop_time = ms(50);
    static constexpr int64_t longest_lease_ms = 1000;

    struct active
    {
        uint32_t run = 0;
    };

    void extend(target_time until)
    {
        const auto left =
            std::min(until.value() - clock().value(), longest_lease_ms);
        const auto end = events_.now() +
                         duration(static_cast<int64_t>(
                             static_cast<double>(left) * 1000 / clock_rate_));
        if (left <= 0 || end <= lease_end_)
        {
            return;
        }
        lease_end_ = end;
        events_.at(end - events_.now(),
                   [this, end]
                   {
                       if (lease_end_ == end && rules_.lease_ends)
                       {
                           end_all();
                       }
                   });
    }

    void end_all()
    {
        for (const auto& [task, it] : runs_)
        {
            end_later({task, it.run}, random_.between(ms(0), max_stop_time),
                      ended_run_status::stopped);
        }
    }

    void end_later(const run_id& id, duration delay, ended_run_status status)
    {
        events_.at(delay, [this, id, status] { end(id, status); });
    }

    void end(const run_id& id, ended_run_status status)
    {
        const auto it = runs_.find(id.task);
        if (it == runs_.end() || it->second.run != id.run)
        {
            return;
        }
        runs_.erase(it);
        fence(id);
        observer_.on_end(id);
        ended_.push_back({end_position(++last_end_), id, status});
        for (const auto& [n, respond] : std::exchange(waiting_, {}))
        {
            respond(answer());
        }
    }

    void fence(const run_id& id)
    {
        auto& n = fences_[id.task];
        n = std::max(n, id.run);
    }

    lease_answer answer() const
    {
        lease_answer out;
        out.clock = clock();
        out.ended = ended_;
        for (const auto& [task, it] : runs_)
        {
            out.running.push_back({{task, it.run}, 50});
        }
        return out;
    }

    event_queue& events_;
    random_choice& random_;
    target_rules rules_;
    run_observer observer_;
    double clock_rate_;
    int64_t clock_offset_;
    time_point lease_end_;
    std::map<std::string, active> runs_;
    /// highest run number that was stopped or has ended, by task
    std::map<std::string, uint32_t> fences_;
    std::vector<ended_run> ended_;
    uint64_t last_end_ = 0;
    std::map<uint64_t, respond_fn> waiting_;
    uint64_t last_waiting_ = 0;
};

} // namespace agatebank
