#pragma once

#include "late_input_trace.hpp"
#include "simulated_jobs.hpp"
#include "simulated_process.hpp"
#include <agatebank/harness/refusal_record.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace agatebank
{

/// @brief The connections of callers to the entries.
struct simulated_caller_hooks
{
    /// sends a request, which waits at the entry before it can be read
    std::function<void(uint64_t number, std::size_t entry, duration wait)> send;
    /// closes the connection of a request that has no answer
    std::function<void(uint64_t number)> disconnect;
};

/// @brief Callers that submit a job each. Some leave, and submit it again to
/// any entry, as do those whose job was given up.
class simulated_callers
{
  public:
    simulated_callers(event_queue& events, random_choice& random,
                      late_input_trace& trace, duration longest_request_wait,
                      simulated_caller_hooks hooks)
        : events_(events)
        , random_(random)
        , trace_(trace)
        , longest_request_wait_(longest_request_wait)
        , hooks_(std::move(hooks))
    {
    }

    void begin(std::size_t jobs)
    {
        callers_.resize(jobs);
        for (std::size_t i = 0; i < jobs; ++i)
        {
            events_.at(random_.between(ms(0), ms(14000)),
                       [this, i] { submit(i); });
        }
    }

    void answer(uint64_t number, const job_outcome& o)
    {
        auto& rq = requests_.at(number);
        auto& c = callers_[rq.caller];
        if (rq.left || std::exchange(rq.answered, true))
        {
            return;
        }
        note(c.job.id, "the caller is answered: " +
                           std::to_string(static_cast<int>(o.result)));
        if (o.result == job_result::not_run && refusals_.refuse(c.job.id))
        {
            note(c.job.id, "REFUSED AFTER A START");
        }
        if (o.result == job_result::abandoned &&
            c.submissions < max_submissions)
        {
            retry(rq.caller);
            return;
        }
        c.answered = true;
    }

    void on_run_start(const std::string& job)
    {
        if (refusals_.start(job))
        {
            note(job, "STARTED AFTER A REFUSAL");
        }
    }

    refusal_counts refusals() const
    {
        return refusals_.counts();
    }

    simulated_request& request(uint64_t number)
    {
        return requests_.at(number);
    }

    const job_submission& job(uint64_t number) const
    {
        return callers_[requests_.at(number).caller].job;
    }

    std::ptrdiff_t unanswered() const
    {
        return std::count_if(callers_.begin(), callers_.end(),
                             [](const auto& it) { return !it.answered; });
    }

    int left = 0; ///< times that a caller left

  private:
    using ms = std::chrono::milliseconds;

    static constexpr duration caller_retry_delay = ms(1300);
    static constexpr int max_submissions = 4;

    void note(const std::string& job, const std::string& text)
    {
        trace_.add(events_.now(), job, text);
    }

    void submit(std::size_t i)
    {
        auto& c = callers_[i];
        if (c.submissions++ == 0)
        {
            c.job = random_job(random_, i);
        }
        refusals_.submit(c.job.id);
        c.job.plan.payload = std::to_string(c.submissions);
        const auto number = ++last_number_;
        const auto e = random_.below(late_input_trace::entry_count);
        requests_[number] = {i, e};
        const auto wait = random_.percent(20)
                              ? random_.between(ms(0), longest_request_wait_)
                              : random_.between(ms(1), ms(4));
        note(c.job.id, "submission " + c.job.plan.payload + " is sent to " +
                           late_input_trace::name_of(e) +
                           ", where it waits for " +
                           std::to_string(wait / ms(1)) + " ms");
        hooks_.send(number, e, wait);
        if (c.submissions < max_submissions && random_.percent(60))
        {
            events_.at(random_.between(ms(0), ms(2500)),
                       [this, number] { leave(number); });
        }
    }

    void leave(uint64_t number)
    {
        auto& rq = requests_.at(number);
        if (rq.answered)
        {
            return;
        }
        rq.left = true;
        ++left;
        note(callers_[rq.caller].job.id,
             "the caller leaves " + late_input_trace::name_of(rq.entry));
        hooks_.disconnect(number);
        retry(rq.caller);
    }

    void retry(std::size_t i)
    {
        events_.at(caller_retry_delay, [this, i] { submit(i); });
    }

    event_queue& events_;
    random_choice& random_;
    late_input_trace& trace_;
    refusal_record refusals_;
    duration longest_request_wait_;
    simulated_caller_hooks hooks_;
    std::vector<simulated_caller> callers_;
    std::map<uint64_t, simulated_request> requests_;
    uint64_t last_number_ = 0;
};

} // namespace agatebank
