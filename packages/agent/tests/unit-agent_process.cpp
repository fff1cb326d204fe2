#include "agent_fixture.hpp"

#include <catch2/catch.hpp>

using namespace agatebank;

TEST_CASE("agent_process: a start runs once and its report is delivered")
{
    agent_fixture f;
    f.start();
    auto& entry = f.entry();
    CHECK(f.until([&] { return entry.credits == 2; }));
    entry.send_orders({entry.order(1), entry.order(2)});
    REQUIRE(f.until([&] { return entry.reports.size() == 2; }));
    CHECK(entry.report_of(1)->kind == report_kind::answered);
    CHECK(entry.report_of(1)->body == "echo p1");
    CHECK(entry.report_of(2)->body == "echo p2");

    entry.send_orders({entry.order(1), entry.order(2)});
    REQUIRE(f.until([&] { return entry.reports.size() == 4; }));
    CHECK(f.target.starts.size() == 2);

    entry.link->send(acknowledgement{start_sequence(3)});
    CHECK(f.until([&] { return f.agent->statistics().tracked == 0; }));
    entry.send_orders({entry.order(1)});
    REQUIRE(f.until([&] { return entry.reports.size() == 5; }));
    CHECK(entry.reports.back().error == static_cast<int>(errc::start_stale));
    CHECK(f.target.starts.size() == 2);
}
