#include <agatebank/node/heard_times.hpp>
#include <agatebank/node/target_lease.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
const order_source entry(1);
const order_source other_entry(2);

struct fixture
{
    run_scheduler runs{{[](const run_id&, const std::string&) {},
                        [](const run_id&) {},
                        [](order_source, const order_result&) {},
                        [](const std::vector<lost_run>&) {},
                        [](const log_record&) {
                        }}};
    heard_times heard;

    fixture()
    {
        runs.set_capacity({4000, 1000, 0}, start);
        runs.set_accepting_orders(true, start);
        heard.on_heard(entry, start);
        heard.on_heard(other_entry, start);
    }

    void order(order_source from, time_point now)
    {
        run_batch b;
        b.job = "job-" + std::to_string(from.value());
        b.task_resources = {1000, 10, 0};
        b.objective_us = b.useful_until_us = b.deadline_us =
            duration(5s).count();
        run_order o;
        o.id = order_id(1);
        o.expected_us = duration(60ms).count();
        b.orders = {o};
        runs.on_batch(from, b, now);
    }
};

} // namespace

// Guards against a lease that the entry of a run doesn't bound.
TEST_CASE(
    "heard_times: the entry with orders that was heard longest ago counts")
{
    fixture f;
    CHECK_FALSE(f.heard.oldest(f.runs));
    f.order(entry, start);
    f.heard.on_heard(other_entry, start + 100ms);
    CHECK(f.heard.oldest(f.runs) == start);
    f.heard.on_heard(entry, start + 300ms);
    CHECK(f.heard.oldest(f.runs) == start + 300ms);
    f.order(other_entry, start + 300ms);
    CHECK(f.heard.oldest(f.runs) == start + 100ms);
    // An older message doesn't count.
    f.heard.on_heard(other_entry, start + 50ms);
    CHECK(f.heard.newest(other_entry) == start + 100ms);
    // The runs of a closed link may go on.
    f.heard.on_closed(other_entry);
    CHECK(f.heard.oldest(f.runs) == start + 100ms);
    CHECK_FALSE(f.heard.newest(other_entry));
}

// Guards against a run whose cancellation was under way for long and whose stop
// is lost: its lease counted from the stop, not from when its caller left.
TEST_CASE("heard_times: a stop that is not confirmed counts from the message "
          "before its cancellation")
{
    fixture f;
    f.order(entry, start);
    // Sent together: the second one shows the cancellation's time.
    f.heard.on_heard(entry, start + 200ms);
    f.heard.on_heard(entry, start + 200ms);
    f.heard.on_cancel(entry, start + 900ms);
    f.runs.on_cancel(entry, {order_id(1)}, start + 900ms);
    for (const auto later : {1s, 2s})
    {
        f.heard.on_heard(entry, start + later);
        CHECK(f.heard.oldest(f.runs) == start);
    }
    // The run has ended with the lease.
    f.runs.on_lease_expired(start + 2s);
    CHECK_FALSE(f.heard.oldest(f.runs));
    f.order(other_entry, start + 2s);
    CHECK(f.heard.oldest(f.runs) == start);
    f.heard.on_heard(other_entry, start + 2s);
    CHECK(f.heard.oldest(f.runs) == start + 2s);
}

// Guards against runs that go on for as long as their stops are lost: the
// callers of runs that a killed agent left, or that the target began late, may
// have left at any time.
TEST_CASE("heard_times: the lease is not extended while the target lists runs "
          "that no order accounts for")
{
    fixture f;
    target_lease lease({});
    lease.on_answer(target_time(5000), start);
    const auto extension = [&f, &lease](time_point now)
    {
        f.heard.on_heard(entry, now);
        return lease.extension(f.heard.oldest(f.runs), now);
    };
    CHECK(extension(start) == 1s);
    lease_answer listing;
    listing.running = {{{"left.0.0.0", 1}, 10}};
    f.runs.on_new_incarnation(listing, start);
    CHECK(extension(start) <= 0ms);
    // An order waits, and is not started with a validity that is over.
    f.order(entry, start);
    CHECK(f.runs.running() == 0);
    for (const auto later : {50ms, 500ms, 2000ms})
    {
        f.runs.on_listing(listing, start + later, start + later);
        CHECK(extension(start + later) <= 0ms);
        CHECK(f.runs.running() == 0);
    }
    f.runs.on_listing({}, start + 2100ms, start + 2100ms);
    CHECK(f.runs.running() == 1);
    CHECK(extension(start + 2100ms) == 1s);
}
