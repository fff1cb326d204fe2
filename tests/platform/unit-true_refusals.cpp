#include "node_cluster.hpp"
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <csignal>
#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

/// Callers submit a job again this long after they closed their connection.
constexpr duration caller_retry_delay = 1300ms;
constexpr duration submission_period = 8ms;
constexpr unsigned status_not_run = 503;
constexpr unsigned status_ok = 200;

struct submitted_job
{
    std::string id;
    std::size_t number = 0; ///< of the latest submission
    bool is_again = false;  ///< the caller left, and submitted it again
};

std::string job_id(std::size_t n)
{
    const auto digits = std::to_string(n);
    return std::string(16 - digits.size(), '0') + digits;
}

std::string payload_of(std::size_t n)
{
    return timed_payload + std::to_string(150 + n % 4 * 100);
}

std::size_t submit(node_cluster& c, std::size_t entry, std::size_t n)
{
    return c.submit(entry, job_id(n), static_cast<unsigned>(1 + n % 6),
                    400ms + n % 5 * 400ms, "/q/", payload_of(n));
}

// The caller of a job that has no answer leaves, and submits its job again to
// the other entry.
void leave(node_cluster& c, std::vector<submitted_job>& jobs, std::size_t n)
{
    if (c.job(jobs[n].number).ended)
    {
        return;
    }
    c.disconnect(jobs[n].number);
    c.timers.schedule(caller_retry_delay,
                      [&c, &jobs, n]
                      {
                          jobs[n].number = submit(c, 1 - n % 2, n);
                          jobs[n].is_again = true;
                      });
}

// Three of eight callers leave early.
void submit_job(node_cluster& c, std::vector<submitted_job>& jobs,
                std::size_t n)
{
    jobs.push_back({job_id(n), submit(c, n % 2, n)});
    if (n % 4 == 3 || n % 8 == 0)
    {
        c.timers.schedule(60ms, [&c, &jobs, n] { leave(c, jobs, n); });
    }
}

// One target carries out calls late, one refuses them as late, and one doesn't
// answer starts for some time. Each entry is paused twice.
void plan_faults(node_cluster& c)
{
    c.targets[0]->set_call_delay(120ms);
    const auto at = [&c](duration delay, std::function<void()> fn)
    {
        c.timers.schedule(delay, std::move(fn));
    };
    at(400ms, [&c] { c.targets[1]->set_call_delay(600ms); });
    at(1000ms, [&c] { c.targets[1]->set_call_delay({}); });
    at(800ms, [&c] { c.targets[2]->set_mode(target_mode::unresponsive); });
    at(1400ms, [&c] { c.targets[2]->set_mode(target_mode::healthy); });
    for (std::size_t n = 0; n < 4; ++n)
    {
        const auto begin = 150ms + n * 450ms;
        at(begin, [&c, n] { c.entry(n % 2).signal(SIGSTOP); });
        at(begin + 300ms, [&c, n] { c.entry(n % 2).signal(SIGCONT); });
    }
}

} // namespace

// Guards against a start of a job that was refused: an entry answers "not run"
// while an order of the job is at an agent or its start is under way to a
// target, or another entry goes on with the job of a caller that has left.
TEST_CASE("true refusals: a refused job is not started, before or after")
{
    std::map<std::string, std::vector<time_point>> starts; // by job
    std::vector<submitted_job> jobs;
    cluster_plan plan{2, 3};
    plan.estimate = 300ms;
    node_cluster c(plan);
    c.ledger.on_event = [&starts](const std::string& task,
                                  const target_run& run,
                                  const std::string& event)
    {
        if (event == "started")
        {
            starts[task.substr(0, task.find('.'))].push_back(run.started);
        }
    };
    REQUIRE(c.wait_ready());
    plan_faults(c);
    for (std::size_t n = 0; n < 250; ++n)
    {
        submit_job(c, jobs, n);
        run_for(c.loop, submission_period);
    }
    run_for(c.loop, caller_retry_delay + 100ms);
    for (const auto& it : jobs)
    {
        CHECK(c.wait_ended(it.number));
    }
    run_for(c.loop, 2s);

    std::size_t refused = 0;
    std::size_t served = 0;
    std::size_t refused_again = 0;
    for (const auto& it : jobs)
    {
        const auto& j = c.job(it.number);
        served += j.status == status_ok ? 1 : 0;
        if (j.status != status_not_run)
        {
            continue;
        }
        ++(it.is_again ? refused_again : refused);
        for (const auto started : starts[it.id])
        {
            INFO("job " << it.id << ", answered after " << j.took / 1ms
                        << " ms, started " << (started - j.submitted) / 1ms
                        << " ms after its submission");
            // A job that was submitted twice may have run for its first
            // submission, whose caller had no answer.
            CHECK((it.is_again && started < j.submitted + j.took));
        }
    }
    std::cout << "true refusals: " << served << " jobs served, " << refused
              << " refused, " << refused_again
              << " refused when submitted again" << std::endl;
    CHECK(c.ledger.overlaps == 0);
    // Both are frequent enough to be tested.
    CHECK(refused > 20);
    CHECK(served > 20);
}
