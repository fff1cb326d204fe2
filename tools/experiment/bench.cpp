#include "bench.hpp"

#include "workload.hpp"
#include <agatebank/core/dispatcher.hpp>

#include <array>
#include <cstdio>
#include <ctime>
#include <deque>
#include <vector>

namespace agatebank::experiment
{

namespace
{

using namespace std::chrono_literals;

constexpr unsigned slots = 8;
constexpr std::size_t job_tasks = 20;
constexpr std::size_t starts_measured = 50000;
constexpr double starts_per_s = 5000;
const service_name booking("pall-booking");

struct bench_row
{
    unsigned targets;
    std::size_t queued;
    std::size_t tasks_of_job;
};

double processor_s()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) +
           1e-9 * static_cast<double>(t.tv_nsec);
}

// An entry whose queue is kept at a constant length: after each answer a task
// is started, and new jobs are admitted as the queue gets shorter.
class bench_entry
{
  public:
    bench_entry(const bench_row& row, dispatch_options options)
        : row_(row), dispatcher_(options)
    {
        for (unsigned i = 0; i < row.targets; ++i)
        {
            target_offer offer;
            offer.agent = agent_incarnation(i);
            offer.services = {booking};
            offer.slots = slots;
            dispatcher_.put_target(offer, now_);
            dispatcher_.set_grant(offer.agent, slots);
        }
    }
    void fill()
    {
        while (dispatcher_.waiting_tasks() < row_.queued)
        {
            job_request job;
            job.key = job_key(next_job_++);
            job.service = booking;
            constexpr std::array<duration, 3> waits{6s, 15s, 3600s};
            job.wait = waits[next_job_ % waits.size()];
            job.tasks.assign(row_.tasks_of_job, {200ms});
            dispatcher_.admit(job, now_);
        }
        start();
    }
    void complete_one_task()
    {
        now_ += 10us;
        const auto done = running_.front();
        running_.pop_front();
        const auto run_time = duration(100000 + random_.between(0, 200000));
        dispatcher_.on_outcome(done.task, done.agent, task_outcome::answered,
                               run_time, now_);
        if (dispatcher_.waiting_tasks(done.task.job) == 0)
        {
            dispatcher_.remove_job(done.task.job);
        }
        fill();
        total_demand_ += dispatcher_.demand(done.agent, now_).queued;
    }

  private:
    void start()
    {
        for (const auto& it : dispatcher_.assign(now_))
        {
            running_.push_back(it);
        }
    }

    bench_row row_;
    dispatcher dispatcher_;
    random_source random_{1};
    std::deque<assignment> running_;
    time_point now_;
    uint64_t next_job_ = 0;
    uint64_t total_demand_ = 0;
};

std::string bench_one(const bench_row& row)
{
    dispatch_options options;
    // Admission control would refuse jobs and shorten the queue.
    options.admission_control = false;
    bench_entry entry(row, options);
    entry.fill();
    const double before = processor_s();
    for (std::size_t i = 0; i < starts_measured; ++i)
    {
        entry.complete_one_task();
    }
    const double per_start = (processor_s() - before) / starts_measured;
    std::array<char, 160> buf{};
    std::snprintf(buf.data(), buf.size(),
                  "| %u | %zu | %zu | %.2f | %.2f %% |\n", row.targets,
                  row.queued, row.tasks_of_job, 1e6 * per_start,
                  100 * per_start * starts_per_s);
    return buf.data();
}

} // namespace

std::string bench_decisions()
{
    std::string out = "| targets | queued tasks | tasks of a job | "
                      "processor time per start, us | of a core at 5000/s |\n"
                      "|--:|--:|--:|--:|--:|\n";
    constexpr std::array rows{
        bench_row{10, 0, 1},
        bench_row{10, 1000, job_tasks},
        bench_row{10, 100000, job_tasks},
        bench_row{50, 100000, job_tasks},
        bench_row{200, 100000, job_tasks},
        bench_row{200, 1000, 1},
    };
    for (auto row : rows)
    {
        row.queued = std::max<std::size_t>(row.queued, 1);
        out += bench_one(row);
    }
    return out;
}

} // namespace agatebank::experiment
