// No task of a submission starts twice.
#include "small_cluster.hpp"

#include <csignal>
#include <functional>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t entries = 3;
constexpr std::size_t tasks = 6;
constexpr int64_t run_ms = 400;

// Submits the same job through every entry without waiting.
void submit_everywhere(trial& t, const std::string& id, const job_request& job)
{
    for (std::size_t i = 0; i < entries; ++i)
    {
        t.submit(i, id, job);
    }
}

struct resubmission_case
{
    const char* name;
    std::function<void(trial&, const std::string&, const job_request&)> run;
};

const resubmission_case resubmissions[] = {
    {"at the same moment through all entries",
     [](trial& t, const std::string& id, const job_request& job)
     {
         submit_everywhere(t, id, job);
         t.settle();
         CHECK(t.verdict.count("complete") == entries);
     }},
    {"during the run",
     [](trial& t, const std::string& id, const job_request& job)
     {
         t.submit(0, id, job);
         REQUIRE(t.wait_starts(1));
         submit_everywhere(t, id, job);
         t.settle();
         CHECK(t.verdict.count("complete") == entries + 1);
     }},
    {"after the answer",
     [](trial& t, const std::string& id, const job_request& job)
     {
         CHECK(t.submit_now(0, id, job).state == "complete");
         submit_everywhere(t, id, job);
         t.settle();
         CHECK(t.verdict.count("complete") == entries + 1);
     }},
    {"after the caller hung up",
     [](trial& t, const std::string& id, const job_request& job)
     {
         t.submit_now(0, id, job, 1ms);
         submit_everywhere(t, id, job);
         t.settle();
         CHECK(t.verdict.count("complete") == entries);
     }},
};

} // namespace

TEST_CASE("a resubmission starts nothing twice", "[double_start]")
{
    for (const auto& row : resubmissions)
    {
        SECTION(row.name)
        {
            trial t(make_small());
            const auto id = t.reserve(0);
            const auto job = make_job(row.name, tasks, run_ms);
            row.run(t, id, job);
            CHECK(t.nodes.read_ledger().starts_of(id).size() == tasks);
            t.check();
        }
    }
}
