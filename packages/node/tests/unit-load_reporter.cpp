#include <agatebank/node/load_reporter.hpp>
#include <agatebank/node/report_requester.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

target_load busy(int64_t cpu_millis)
{
    target_load out;
    out.accepts_work = true;
    out.capacity.cpu_millis = 1000;
    out.used.cpu_millis = cpu_millis;
    return out;
}

} // namespace

// Guards against other decisions than before where an entry requests 25 ms: a
// change of acceptance at once, others after 25 or 100 ms, results without
// load.
TEST_CASE("load_reporter: reports of earlier deployments are unchanged")
{
    int sent = 0;
    load_reporter reporter([&sent](link_id, const target_update&) { ++sent; });
    const link_id link(1);
    reporter.add_link(link);
    reporter.set_period(link, 25ms);
    std::mt19937_64 random(20261204);
    target_load reported;
    time_point reported_at;
    auto now = start;
    int expected = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        now += duration(random() % 20'000);
        auto load = busy(static_cast<int64_t>(random() % 500));
        load.accepts_work = random() % 50 != 0;
        load.suspect = random() % 50 == 0;
        load.cold = random() % 50 == 0;
        load.capacity.cpu_millis -= random() % 50 == 0 ? 100 : 0;
        const bool large =
            load.capacity != reported.capacity ||
            load.suspect != reported.suspect || load.cold != reported.cold ||
            5 * std::abs(load.used.cpu_millis - reported.used.cpu_millis) >
                load.capacity.cpu_millis;
        const bool due = load.accepts_work != reported.accepts_work ||
                         now - reported_at >= (large ? 25ms : 100ms);
        if (load != reported && due)
        {
            ++expected;
            reported = load;
            reported_at = now;
        }
        const auto wait = reporter.report(link, load, random() % 2 == 0, now);
        REQUIRE(sent == expected);
        REQUIRE(wait.has_value() == (load != reported));
        REQUIRE(wait.value_or(25ms) == 25ms);
    }
}

// Guards against an agent that reports to all its entries at the rate of one,
// and against class changes that wait for a long period.
TEST_CASE("load_reporter: each entry gets reports at the period it requested")
{
    struct row
    {
        int64_t requested_us;
        int at_most;  ///< reports in 4 s of large changes, each 5 ms
        int at_least; ///< each may be late by one check of 5 ms
    };
    const std::vector<row> rows = {{25'000, 161, 130},   {108'333, 38, 34},
                                   {400'000, 11, 9},     {0, 161, 130},
                                   {-7, 161, 130},       {9'000'000, 11, 9},
                                   {INT64_MIN, 161, 130}};
    std::map<link_id, int> sent;
    load_reporter reporter([&sent](link_id l, const target_update&)
                           { ++sent[l]; });
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        reporter.add_link(link_id(i));
        reporter.set_period(link_id(i), duration(rows[i].requested_us));
    }
    for (int step = 0; step < 800; ++step)
    {
        for (std::size_t i = 0; i < rows.size(); ++i)
        {
            reporter.report(link_id(i), busy(step % 2 * 900), false,
                            start + step * 5ms);
        }
    }
    const auto now = start + 4s;
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        INFO("requested " << rows[i].requested_us);
        const link_id link(i);
        CHECK(sent[link] <= rows[i].at_most);
        CHECK(sent[link] >= rows[i].at_least);
        // The same write as order results, where the period is longer.
        reporter.report(link, busy(1), false, now + 500ms);
        sent[link] = 0;
        reporter.report(link, busy(2), true, now + 501ms);
        CHECK(sent[link] == (rows[i].at_least < 100 ? 1 : 0));
        auto changed = busy(2);
        changed.suspect = true;
        sent[link] = 0;
        reporter.report(link, changed, false, now + 526ms);
        CHECK(sent[link] == 1);
        changed.accepts_work = false;
        reporter.report(link, changed, false, now + 526ms);
        CHECK(sent[link] == 2);
        CHECK_FALSE(reporter.report(link, changed, false, now + 526ms));
    }
}

// Guards against requests at the rate of the links, and against a link that
// never learns the period.
TEST_CASE("report_requester: requests after greetings and changes by a quarter")
{
    std::map<link_id, duration> told;
    int sent = 0;
    report_requester requester(0.12, {[&](link_id l, const report_request& m)
                                      {
                                          ++sent;
                                          told[l] = duration(m.min_period_us);
                                      },
                                      [](const log_record&) {
                                      }});
    for (uint64_t i = 1; i <= 52; ++i)
    {
        requester.add_link(link_id(i));
        requester.add_link(link_id(i)); // greets again
        REQUIRE(told[link_id(i)] == requester.period());
    }
    // At most 25 % off the value of 108.333 ms, on all links.
    CHECK(requester.period() > 86ms);
    for (const auto& [link, period] : told)
    {
        CHECK(period == requester.period());
    }
    // 25 ms grow to 108 ms in at most 6 steps of a quarter.
    CHECK(sent <= 52 + 6 * 52);
    for (uint64_t i = 2; i <= 52; ++i)
    {
        requester.remove_link(link_id(i));
    }
    // Less than a quarter off the 25 ms of a single agent.
    CHECK(told[link_id(1)] < 31'250us);
}
