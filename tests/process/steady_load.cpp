#include "steady_load.hpp"

namespace agatebank
{

namespace
{

constexpr auto poll_period = std::chrono::milliseconds(100);
constexpr auto poll_timeout = std::chrono::seconds(1);
constexpr auto retry_delay = std::chrono::milliseconds(50);
constexpr auto job_wait = std::chrono::seconds(60);

} // namespace

steady_load::steady_load(cluster_fixture& t, load_options options)
    : fixture_(t)
    , options_(std::move(options))
    , random_(options_.seed)
    , ready_(t.nodes.options().entry_domains.size(), true)
{
}

void steady_load::start()
{
    running_ = true;
    timers_.push_back(
        fixture_.loop.every(poll_period, [this] { poll_ready(); }));
    for (std::size_t i = 0; i < options_.in_flight; ++i)
    {
        ++jobs_in_flight_;
        begin_job();
    }
}

void steady_load::finish(duration timeout)
{
    running_ = false;
    REQUIRE(run_until(fixture_.loop, timeout,
                      [this] { return jobs_in_flight_ == 0; }));
    timers_.clear();
}

void steady_load::poll_ready()
{
    for (std::size_t i = 0; i < ready_.size(); ++i)
    {
        http_call call;
        call.url = fixture_.nodes.entry_url(i) + "/readyz";
        call.timeout = poll_timeout;
        fixture_.nodes.caller().send(
            call, [this, i](const caller_reply& r)
            { ready_[i] = r.arrived && r.status == 200; });
    }
}

std::optional<std::size_t> steady_load::choose_entry()
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < ready_.size(); ++i)
    {
        if (ready_[i])
        {
            candidates.push_back(i);
        }
    }
    if (candidates.empty())
    {
        return std::nullopt;
    }
    return candidates[random_() % candidates.size()];
}

void steady_load::begin_job()
{
    const auto entry = choose_entry();
    if (!entry)
    {
        const auto number = ++next_retry_;
        retries_[number] = fixture_.loop.after(retry_delay,
                                               [this, number]
                                               {
                                                   const auto keep_alive =
                                                       retries_.extract(number);
                                                   begin_job();
                                               });
        return;
    }
    const auto name = "load-" + std::to_string(++next_job_);
    std::uniform_int_distribution<int64_t> run(options_.min_run_ms,
                                               options_.max_run_ms);
    const auto job = make_job(name, options_.tasks, run(random_),
                              next_job_ % 2 == 0, options_.patience);
    http_call call;
    call.method = "POST";
    call.url = fixture_.nodes.entry_url(*entry) + "/v1/submissions";
    fixture_.nodes.caller().send(call,
                                 [this, e = *entry, job](const caller_reply& r)
                                 {
                                     const auto j = nlohmann::json::parse(
                                         r.body, nullptr, false);
                                     if (r.status != 201 || !j.is_object())
                                     {
                                         record_reply(e, "reservation", job, r);
                                         return;
                                     }
                                     submit(e, j["submissions"][0], job);
                                 });
}

void steady_load::submit(std::size_t entry, const std::string& id,
                         const job_request& job)
{
    fixture_.nodes.caller().submit(fixture_.nodes.entry_url(entry), id, job,
                                   job_wait,
                                   [this, entry, id, job](const caller_reply& r)
                                   {
                                       fixture_.verdict.saw(id, job, r);
                                       record_reply(entry, id, job, r);
                                   });
}

void steady_load::record_reply(std::size_t entry, const std::string& id,
                               const job_request& job,
                               const caller_reply& reply)
{
    const auto where = "entry " + std::to_string(entry + 1) + ", " + id + ", " +
                       job.tasks.front().echo + ": ";
    if (!reply.arrived)
    {
        failure_messages_.push_back(where + "no reply: " + reply.body);
    }
    else if (reply.state == "complete")
    {
        ++complete_;
    }
    else if (reply.state.empty() && reply.run == "not-run")
    {
        ++refused_;
    }
    else
    {
        ++failed_;
        failure_messages_.push_back(where + reply.body);
    }
    end_job();
}

void steady_load::end_job()
{
    if (!running_)
    {
        --jobs_in_flight_;
        return;
    }
    const auto number = ++next_retry_;
    retries_[number] = fixture_.loop.after(std::chrono::milliseconds(1),
                                           [this, number]
                                           {
                                               const auto keep_alive =
                                                   retries_.extract(number);
                                               if (running_)
                                               {
                                                   begin_job();
                                                   return;
                                               }
                                               --jobs_in_flight_;
                                           });
}

std::size_t steady_load::complete() const noexcept
{
    return complete_;
}

std::size_t steady_load::failed() const noexcept
{
    return failed_;
}

std::size_t steady_load::refused() const noexcept
{
    return refused_;
}

const std::vector<std::string>& steady_load::failure_messages() const noexcept
{
    return failure_messages_;
}

} // namespace agatebank
