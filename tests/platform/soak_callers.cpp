#include "soak_callers.hpp"

#include <agatebank/harness/run_until.hpp>

#include <algorithm>
#include <utility>

namespace agatebank
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

/// Callers submit a job again this long after they lost it.
constexpr duration caller_retry_delay = 1300ms;
/// An answer may come this long after the deadline.
constexpr duration answer_margin = 1s;
constexpr int max_submissions = 4;
constexpr int max_connections = 4096;
constexpr std::size_t max_failed_jobs = 3;
constexpr duration tick_period = 20ms;
constexpr duration shortest_stall = 100ms; ///< that is recorded
constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_not_run = 503;
constexpr unsigned status_no_result = 504;

int64_t to_ms(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

std::string to_text(duration d)
{
    return std::to_string(to_ms(d)) + " ms";
}

} // namespace

// soak_trace

soak_trace::soak_trace(event_loop& loop) : loop_(loop), began_(loop.now()) {}

void soak_trace::add(const std::string& text)
{
    lines_.push_back(std::to_string(to_ms(loop_.now() - began_)) + " " + text);
}

void soak_trace::fail(const std::string& job, const std::string& text)
{
    add("FAILED: " + job + " " + text);
    failures_.push_back(lines_.back());
    if (failed_jobs_.size() < max_failed_jobs)
    {
        failed_jobs_.push_back(job);
    }
}

std::string soak_trace::report() const
{
    std::string out;
    for (const auto& it : failures_)
    {
        out += it + "\n";
    }
    for (const auto& line : lines_)
    {
        const bool of_failed_job = std::any_of(
            failed_jobs_.begin(), failed_jobs_.end(),
            [&line](const auto& it)
            { return !it.empty() && line.find(it) != std::string::npos; });
        if (of_failed_job || line.find("fault:") != std::string::npos)
        {
            out += line + "\n";
        }
    }
    return out;
}

std::vector<std::string> soak_trace::failed_jobs() const
{
    return failed_jobs_;
}

const std::vector<std::string>& soak_trace::failures() const noexcept
{
    return failures_;
}

// soak_callers

soak_callers::soak_callers(node_cluster& cluster, soak_trace& trace,
                           std::size_t entries, uint64_t seed)
    : cluster_(cluster)
    , trace_(trace)
    , random_(seed)
    , client_(cluster.loop, {}, max_connections)
    , blocked_(entries)
    , last_tick_(cluster.loop.now())
{
    cluster_.ledger.on_event = [this](const std::string& task,
                                      const target_run& run,
                                      const std::string& event)
    {
        on_run(task, run, event);
    };
    tick_ = cluster_.loop.every(tick_period, [this] { check_stall(); });
}

soak_callers::~soak_callers()
{
    cluster_.ledger.on_event = {};
    cluster_.timers.cancel(next_job_);
    for (auto& [id, j] : jobs_)
    {
        end_wait(j);
    }
}

uint64_t soak_callers::draw(uint64_t min, uint64_t max)
{
    return min + random_() % (max - min + 1);
}

void soak_callers::start()
{
    running_ = true;
    const auto change_rate = [this]
    {
        rate_ = static_cast<double>(draw(20, 60));
    };
    change_rate();
    rate_timer_ = cluster_.loop.every(2s, change_rate);
    begin_job();
}

void soak_callers::stop()
{
    running_ = false;
}

void soak_callers::begin_job()
{
    if (!running_)
    {
        return;
    }
    const auto tasks = static_cast<unsigned>(draw(1, 8));
    const auto run_ms = draw(60, 900);
    const auto id =
        add_job(tasks, run_ms, std::chrono::milliseconds(draw(1500, 4000)));
    submit(id, draw(0, blocked_.size() - 1), true);
    const auto mean_us = static_cast<uint64_t>(1e6 / rate_);
    next_job_ = cluster_.timers.schedule(duration(draw(0, 2 * mean_us)),
                                         [this] { begin_job(); });
}

std::string soak_callers::add_job(unsigned tasks, uint64_t run_ms,
                                  duration deadline)
{
    std::string id(16, '0');
    for (auto& it : id)
    {
        it = "0123456789abcdef"[random_() % 16];
    }
    auto& j = jobs_[id];
    j.deadline = deadline;
    j.body = json{{"spec", timed_payload + std::to_string(run_ms)},
                  {"bestEffort", true},
                  {"steps",
                   {{{"count", tasks},
                     {"cpu", 1000},
                     {"memMb", 8},
                     {"estimateMs", run_ms}}}}}
                 .dump();
    return id;
}

void soak_callers::submit(const std::string& id, std::size_t entry,
                          bool may_leave)
{
    auto& j = jobs_.at(id);
    ++j.submissions;
    refusals_.submit(id);
    j.entry = entry;
    j.submitted = cluster_.loop.now();
    j.waiting = true;
    j.forgotten = false;
    http_call call;
    call.method = "POST";
    call.url = "http://" + cluster_.callers(entry).to_string() + "/q/" + id;
    call.headers = {{"Host", "desk.example"},
                    {"Deadline-Ms", std::to_string(to_ms(j.deadline))}};
    // Some leave their connection open, and don't use it again.
    if (random_() % 16 != 0)
    {
        call.headers.push_back({"Connection", "close"});
    }
    call.body = j.body;
    call.timeout = 60s;
    trace_.add(id + " submitted to entry " + std::to_string(entry) +
               ", deadline " + to_text(j.deadline) + ", submission " +
               std::to_string(j.submissions) + ", " + j.body);
    j.call = client_.send(
        call, [this, id](const auto& r)
        { on_answer(id, r ? r->status : 0, r ? r->body : std::string()); });
    j.bound = cluster_.timers.schedule(j.deadline + answer_margin,
                                       [this, id] { check_bound(id); });
    if (may_leave && random_() % 4 == 0)
    {
        j.leave =
            cluster_.timers.schedule(std::chrono::milliseconds(draw(50, 1500)),
                                     [this, id]
                                     {
                                         trace_.add(id + " caller leaves");
                                         ++outcomes_["left"];
                                         end_wait(jobs_.at(id));
                                         submit_again(id);
                                     });
    }
}

void soak_callers::end_wait(soak_job& job)
{
    job.waiting = false;
    job.call.reset();
    cluster_.timers.cancel(job.leave);
    cluster_.timers.cancel(job.bound);
}

void soak_callers::submit_again(const std::string& id)
{
    auto& j = jobs_.at(id);
    if (j.submissions >= max_submissions)
    {
        j.open = false;
        return;
    }
    const auto entry = draw(0, blocked_.size() - 1);
    j.leave =
        cluster_.timers.schedule(caller_retry_delay, [this, id, entry]
                                 { submit(id, entry, random_() % 2 == 0); });
}

void soak_callers::on_answer(const std::string& id, unsigned status,
                             const std::string& body)
{
    auto& j = jobs_.at(id);
    trace_.add(id + " answered " + std::to_string(status) + " " + body +
               " after " + to_text(cluster_.loop.now() - j.submitted));
    ++outcomes_[std::to_string(status)];
    end_wait(j);
    j.status = status;
    if (status == 0 || status == status_bad_gateway ||
        status == status_no_result)
    {
        submit_again(id);
        return;
    }
    j.open = false;
    const bool refused = status == status_not_run || status == status_too_many;
    if (refused && refusals_.refuse(id))
    {
        trace_.fail(id, "was refused after " + std::to_string(j.starts) +
                            " starts");
    }
    if (status != status_ok && status != status_not_run)
    {
        trace_.fail(id, "was answered " + std::to_string(status));
    }
}

void soak_callers::check_bound(const std::string& id)
{
    auto& j = jobs_.at(id);
    const auto by_faults = blocked(j.entry, j.submitted);
    const auto due = j.submitted + j.deadline + answer_margin + by_faults;
    const auto now = cluster_.loop.now();
    if (now < due)
    {
        j.bound = cluster_.timers.schedule(due - now,
                                           [this, id] { check_bound(id); });
        return;
    }
    if (!j.forgotten)
    {
        trace_.fail(id, "has no answer after " + to_text(now - j.submitted) +
                            ", faults before its entry took " +
                            to_text(by_faults));
    }
    trace_.add(id + " caller gives up");
    ++outcomes_["gave up"];
    end_wait(j);
    submit_again(id);
}

void soak_callers::set_blocked(std::size_t entry, bool blocked,
                               duration lasting)
{
    auto& list = blocked_.at(entry);
    const auto now = cluster_.loop.now();
    if (blocked)
    {
        list.push_back({now, time_point::max()});
        return;
    }
    for (auto& it : list)
    {
        if (it.end == time_point::max())
        {
            it.end = now + lasting;
            return;
        }
    }
}

duration soak_callers::blocked(std::size_t entry, time_point since) const
{
    duration out{};
    const auto now = cluster_.loop.now();
    for (const auto& it : blocked_.at(entry))
    {
        out += std::max(std::min(it.end, now) - std::max(it.begin, since),
                        duration(0));
    }
    return out;
}

void soak_callers::forget(std::size_t entry)
{
    for (auto& [id, j] : jobs_)
    {
        j.forgotten = j.forgotten || (j.waiting && j.entry == entry);
    }
}

void soak_callers::on_run(const std::string& task, const target_run& run,
                          const std::string& event)
{
    const auto id = task.substr(0, task.find('.'));
    trace_.add(task + " run " + std::to_string(run.run) + " " + event +
               " at target " + run.target);
    const auto& ledger = cluster_.ledger;
    if (ledger.overlapping.size() > overlaps_)
    {
        const auto& o = ledger.overlapping.back();
        overlaps_ = ledger.overlapping.size();
        trace_.fail(id, "task " + o.task + " was started at " + o.later.target +
                            " " + to_text(o.later.started - o.earlier.started) +
                            " after its start at " + o.earlier.target +
                            ", where it runs");
    }
    if (ledger.over_capacity > over_capacity_)
    {
        over_capacity_ = ledger.over_capacity;
        trace_.fail(id, "was started beyond the capacity of " + run.target);
    }
    const auto j = jobs_.find(id);
    if (event != "started")
    {
        return;
    }
    if (j == jobs_.end())
    {
        trace_.fail(id, "was never submitted");
        return;
    }
    ++j->second.starts;
    if (refusals_.start(id))
    {
        trace_.fail(id, "was started after it was refused");
    }
}

// A stall of the test process delays callers, targets and network alike.
void soak_callers::check_stall()
{
    const auto now = cluster_.loop.now();
    const auto stall = now - std::exchange(last_tick_, now) - tick_period;
    longest_stall_ = std::max(longest_stall_, stall);
    if (stall < shortest_stall)
    {
        return;
    }
    trace_.add("fault: the test process stalled for " + to_text(stall));
    for (auto& it : blocked_)
    {
        it.push_back({now - stall, now});
    }
}

void soak_callers::check_served(std::size_t entry)
{
    const auto id = add_job(1, 60, 3s);
    submit(id, entry, false);
    const auto& j = jobs_.at(id);
    run_until(cluster_.loop, 5s, [&j] { return !j.waiting; });
    if (j.status != status_ok)
    {
        trace_.fail(id, "was not served by entry " + std::to_string(entry) +
                            " after the faults");
    }
}

std::size_t soak_callers::open_jobs() const
{
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(),
                                                  [](const auto& it)
                                                  { return it.second.open; }));
}

std::string soak_callers::summary() const
{
    std::string out = std::to_string(jobs_.size()) + " jobs";
    for (const auto& [name, n] : outcomes_)
    {
        out += ", " + name + ": " + std::to_string(n);
    }
    out += ", refused after a start for an earlier submission: " +
           std::to_string(refusals_.counts().refusals_after_start);
    return out + ", longest stall of the test process " +
           to_text(longest_stall_);
}

} // namespace agatebank
