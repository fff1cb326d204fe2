#include <agatebank/agent/start_scheduler.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace agatebank;

namespace
{

const agent_incarnation self(7);
const entry_incarnation first_entry(1);
const admission_check accept_all = [](const start_order&)
{
    return static_cast<const start_refusal*>(nullptr);
};

start_order make_order(entry_incarnation entry, uint64_t sequence)
{
    start_order o;
    o.sequence = start_sequence(sequence);
    o.agent = self;
    o.submission = {entry, submission_sequence(sequence),
                    std::chrono::seconds(600)};
    return o;
}

run_result answer()
{
    run_result r;
    r.kind = report_kind::answered;
    return r;
}

// A scheduler, the starts that it has begun or reported as not run, and a clock
// that advances by 40 s each time an entry is lost.
struct observed_scheduler
{
    agent_limits limits;
    start_scheduler scheduler{self, limits};
    std::map<start_key, int> begun;
    std::set<start_key> running;
    std::set<start_key> reported_not_run;
    int64_t now_us = 1;

    void apply(uint32_t n)
    {
        const entry_incarnation entry(1 + n / 10 % 2);
        const uint64_t sequence = 1 + n / 20 % 16;
        const start_key key{entry, start_sequence(sequence)};
        switch (n % 10)
        {
        case 0:
        case 1:
        case 2:
        case 3:
            scheduler.on_entry_connected(entry);
            scheduler.on_order(entry, make_order(entry, sequence), now_us,
                               accept_all);
            break;
        case 4:
        case 5:
            if (running.erase(key) != 0)
            {
                scheduler.on_run_ended(key, answer());
            }
            break;
        case 6:
            scheduler.on_cancel(entry, {{start_sequence(sequence)}});
            break;
        case 7:
            scheduler.on_acknowledgement(entry, {start_sequence(sequence / 4)});
            break;
        case 8:
            scheduler.on_entry_lost(entry, now_us);
            now_us += 40'000'000;
            scheduler.expire(now_us);
            break;
        default:
            scheduler.set_capacity(static_cast<uint32_t>(sequence % 4),
                                   static_cast<uint32_t>(sequence / 4 % 3));
        }
        observe(entry);
    }

    void observe(entry_incarnation entry)
    {
        const auto before = scheduler.running();
        for (const auto& it : scheduler.take_runnable(now_us))
        {
            RC_ASSERT(++begun[it.key] == 1);
            RC_ASSERT(reported_not_run.count(it.key) == 0U);
            running.insert(it.key);
        }
        RC_ASSERT(scheduler.running() == running.size());
        RC_ASSERT(scheduler.running() <=
                  std::max<std::size_t>(before, scheduler.slots()));
        for (const auto& r : scheduler.take_reports(entry, 1 << 20))
        {
            const start_key key{entry, r.sequence};
            if (r.kind == report_kind::not_run)
            {
                RC_ASSERT(begun[key] == 0);
                reported_not_run.insert(key);
            }
        }
    }
};

} // namespace

TEST_CASE(
    "start_scheduler: no start runs twice, for random events of two entries")
{
    rc::prop("slots are not exceeded and a start runs at most once",
             [](const std::vector<uint32_t>& numbers)
             {
                 observed_scheduler b;
                 b.scheduler.set_capacity(2, 1);
                 for (const auto n : numbers)
                 {
                     b.apply(n);
                 }
             });
}

TEST_CASE("start_scheduler: starts beyond slots and queue are refused")
{
    struct row
    {
        const char* name;
        uint32_t slots;
        uint32_t allowance;
        std::size_t running;
        std::size_t queued;
    };
    const row rows[] = {{"no queue", 2, 0, 2, 0},
                        {"queue of one", 2, 1, 2, 1},
                        {"queue of two", 2, 2, 2, 2},
                        {"no slots", 0, 0, 0, 0}};
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            start_scheduler scheduler(self, {});
            scheduler.set_capacity(r.slots, r.allowance);
            scheduler.on_entry_connected(first_entry);
            for (uint64_t n = 1; n <= 5; ++n)
            {
                scheduler.on_order(first_entry, make_order(first_entry, n), 1,
                                   accept_all);
            }
            CHECK(scheduler.take_runnable(1).size() == r.running);
            CHECK(scheduler.queued() == r.queued);
            CHECK(scheduler.take_reports(first_entry, 1 << 20).size() ==
                  5 - r.running - r.queued);
        }
    }
}

TEST_CASE("start_scheduler: a queued start past its deadline is not begun")
{
    start_scheduler scheduler(self, {});
    scheduler.set_capacity(1, 1);
    scheduler.on_entry_connected(first_entry);
    auto late = make_order(first_entry, 2);
    late.deadline_us = 50;
    scheduler.on_order(first_entry, make_order(first_entry, 1), 1, accept_all);
    CHECK(scheduler.take_runnable(1).size() == 1);
    scheduler.on_order(first_entry, late, 1, accept_all);
    scheduler.on_run_ended({first_entry, start_sequence(1)}, answer());
    CHECK(scheduler.take_runnable(50).empty());
    const auto reports = scheduler.take_reports(first_entry, 1 << 20);
    REQUIRE(reports.size() == 2);
    CHECK(reports[1].error == static_cast<int>(errc::start_past_deadline));
}

TEST_CASE("start_scheduler: a lost entry that connects again reruns no start")
{
    const agent_limits limits;
    start_scheduler scheduler(self, limits);
    scheduler.set_capacity(1, 1);
    scheduler.on_entry_connected(first_entry);
    scheduler.on_order(first_entry, make_order(first_entry, 1), 1, accept_all);
    CHECK(scheduler.take_runnable(1).size() == 1);
    scheduler.on_order(first_entry, make_order(first_entry, 2), 1, accept_all);
    scheduler.on_run_ended({first_entry, start_sequence(1)}, answer());

    scheduler.on_entry_lost(first_entry, 1);
    CHECK(scheduler.take_runnable(1).empty());
    const auto held =
        scheduler.gather(make_order(first_entry, 1).submission, 1);
    REQUIRE(held);
    REQUIRE(held->reported.size() == 1);
    CHECK(held->reported[0].report.kind == report_kind::answered);

    scheduler.expire(1 + limits.lost_entry_retention.count());
    CHECK(scheduler.tracked() == 0);
    scheduler.on_entry_connected(first_entry);
    CHECK(scheduler.on_order(first_entry, make_order(first_entry, 1), 1,
                             accept_all) == start_verdict::stale);
    CHECK(scheduler.on_order(first_entry, make_order(first_entry, 3), 1,
                             accept_all) == start_verdict::accepted);
}

TEST_CASE("start_scheduler: fenced submissions and lost entries are bounded")
{
    agent_limits limits;
    limits.max_fenced_submissions = 2;
    limits.max_lost_entries = 2;
    start_scheduler scheduler(self, limits);
    for (uint64_t n = 1; n <= 3; ++n)
    {
        const auto id = make_order(entry_incarnation(n), 1).submission;
        CHECK(scheduler.gather(id, 1).has_value() == (n <= 2));
    }
    auto now_us = 1 + limits.fence_duration.count();
    CHECK(scheduler.expire(1) == now_us);
    for (uint64_t n = 3; n <= 6; ++n)
    {
        CHECK(scheduler.expire(now_us) == 0);
        const auto id = make_order(entry_incarnation(n), 1).submission;
        CHECK(scheduler.gather(id, now_us));
        now_us += limits.fence_duration.count();
    }
    CHECK(scheduler.expire(now_us) == 0);
    CHECK(scheduler.tracked_entries() == 2);
}
