#include <agatebank/fleet/run_scheduler.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

} // namespace

// Guards against a run that its target's lease outlives, and against an entry
// whose orders must wait delaying those of others.
TEST_CASE("run_scheduler: orders of an entry that may not start wait, those of "
          "others pass")
{
    std::set<order_source> held{order_source(1)};
    std::vector<std::string> started;
    std::vector<order_result> ends;
    run_scheduler s{
        {[&started](const run_id& id, const std::string&)
         { started.push_back(id.task); },
         [](const run_id&) {},
         [&ends](order_source, const order_result& r) { ends.push_back(r); },
         [](const std::vector<lost_run>&) {}, [](const log_record&) {},
         [&held](order_source it)
         {
             return held.count(it) == 0;
         }}};
    s.set_capacity({2000, 1000, 0}, start);
    s.set_accepting_orders(true, start);
    const auto order = [&s](uint64_t from, uint64_t id, duration deadline)
    {
        run_batch b;
        b.job = "j" + std::to_string(id);
        b.task_resources = {1000, 10, 0};
        b.objective_us = b.useful_until_us = b.deadline_us = deadline.count();
        run_order o;
        o.id = order_id(id);
        o.expected_us = duration(60ms).count();
        b.orders = {o};
        s.on_batch(order_source(from), b, start);
    };
    order(1, 1, 200ms);
    order(1, 2, 1s);
    order(2, 3, 2s);
    REQUIRE(started.size() == 1);
    CHECK(started[0] == "j3.0.0.0");
    CHECK(s.queued() == 2);
    // The wait doesn't outlast the deadline.
    s.tick(start + 300ms);
    CHECK(s.queued() == 1);
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].outcome == run_outcome::past_deadline);
    held.clear();
    s.tick(start + 310ms);
    REQUIRE(started.size() == 2);
    CHECK(started[1] == "j2.0.0.0");
}
