#include "agent_fixture.hpp"

#include <catch2/catch.hpp>

using namespace agatebank;

namespace
{

constexpr duration short_timeout = std::chrono::milliseconds(300);

int number(errc e)
{
    return static_cast<int>(e);
}

} // namespace

TEST_CASE("agent_process: a repeated order does not run the task again")
{
    agent_fixture f;
    f.start();
    auto& entry = f.entry();
    CHECK(f.wait_until([&] { return entry.credits == 2; }));
    entry.send_orders({entry.order(1), entry.order(2)});
    REQUIRE(f.wait_until([&] { return entry.reports.size() == 2; }));
    CHECK(entry.report_of(1)->kind == report_kind::answered);
    CHECK(entry.report_of(1)->body == "echo p1");
    CHECK(entry.report_of(2)->body == "echo p2");

    entry.send_orders({entry.order(1), entry.order(2)});
    REQUIRE(f.wait_until([&] { return entry.reports.size() == 4; }));
    CHECK(f.target.requests.size() == 2);

    entry.link->send(acknowledgement{start_sequence(3)});
    CHECK(f.wait_until([&] { return f.agent->statistics().tracked == 0; }));
    entry.send_orders({entry.order(1)});
    REQUIRE(f.wait_until([&] { return entry.reports.size() == 5; }));
    CHECK(entry.reports.back().error == number(errc::start_stale));
    CHECK(f.target.requests.size() == 2);
}

TEST_CASE("agent_process: no more starts run at once than slots, none is lost")
{
    for (const uint32_t allowance : {0U, 1U, 2U})
    {
        SECTION("queue of " + std::to_string(allowance))
        {
            agent_fixture f;
            f.entry().configuration.queue_allowance = allowance;
            f.target.hold = true;
            f.start(2);
            auto& entry = f.entry();
            std::vector<start_order> orders;
            for (uint64_t n = 1; n <= 6; ++n)
            {
                orders.push_back(entry.order(n));
            }
            entry.send_orders(orders);
            REQUIRE(f.wait_until(
                [&] { return entry.reports.size() == 4 - allowance; }));
            CHECK(f.wait_until([&] { return f.target.requests.size() == 2; }));
            CHECK(f.agent->statistics().queued == allowance);
            CHECK(entry.reports[0].error == number(errc::start_refused));
            f.target.hold = false;
            f.target.release();
            REQUIRE(f.wait_until([&] { return entry.reports.size() == 6; }));
            CHECK(f.target.requests.size() == 2 + allowance);
            CHECK(f.target.max_concurrent == 2);
        }
    }
}

TEST_CASE("agent_process: a broken connection loses no report, reruns no task")
{
    agent_fixture f;
    f.target.hold = true;
    f.start();
    auto& entry = f.entry();
    entry.send_orders({entry.order(1)});
    REQUIRE(f.wait_until([&] { return f.target.requests.size() == 1; }));
    entry.link.reset();
    f.target.release();
    REQUIRE(f.wait_until([&] { return entry.connections == 2 && entry.link; }));
    entry.send_orders({entry.order(1)});
    REQUIRE(f.wait_until([&] { return !entry.reports.empty(); }));
    CHECK(entry.report_of(1)->body == "echo p1");

    // The report was sent but not acknowledged, so it is sent again on the new
    // connection without a new order.
    entry.reports.clear();
    entry.link.reset();
    REQUIRE(f.wait_until([&] { return !entry.reports.empty(); }));
    CHECK(entry.report_of(1)->body == "echo p1");
    CHECK(f.target.requests.size() == 1);
}

TEST_CASE("agent_process: a connection without heartbeats is replaced")
{
    agent_fixture f;
    auto& entry = f.entry();
    entry.unresponsive = true;
    const auto unmute = f.loop.after(std::chrono::milliseconds(500),
                                     [&] { entry.unresponsive = false; });
    f.start();
    CHECK(entry.connections == 2);
    CHECK(entry.unanswered.size() == 1);
}

TEST_CASE(
    "agent_process: an entry that sends its hello late gets the target's state")
{
    agent_fixture f(2);
    f.expected_entries = 1;
    f.entry(1).sends_hello = false;
    f.start();
    REQUIRE(f.wait_until([&] { return f.entry(1).connections == 1; }));
    CHECK_FALSE(f.entry(1).target.accepts_work);
    f.entry(1).send_hello();
    CHECK(f.wait_until([&] { return f.entry(1).target.accepts_work; }));
}

TEST_CASE("agent_process: an entry at two addresses has one connection")
{
    agent_fixture f(2);
    f.entry(1).incarnation = f.entry().incarnation;
    f.expected_entries = 1;
    f.start();
    CHECK(f.wait_until([&] { return !f.entry().link != !f.entry(1).link; }));
    f.run_for(std::chrono::seconds(1));
    CHECK(f.agent->statistics().entries_connected == 1);
    CHECK(f.entry().connections + f.entry(1).connections == 2);

    auto& connected = f.entry().link ? f.entry() : f.entry(1);
    connected.send_orders({connected.order(1)});
    REQUIRE(f.wait_until([&] { return !connected.reports.empty(); }));
    auto& other = &connected == &f.entry() ? f.entry(1) : f.entry();
    const auto before = other.connections;
    connected.close();
    CHECK(f.wait_until([&] { return other.connections > before; }));
}

TEST_CASE(
    "agent_process: a lost entry's answers are gathered, its queued starts "
    "refused")
{
    agent_fixture f(2);
    f.entry().configuration.queue_allowance = 2;
    f.entry(1).configuration.queue_allowance = 2;
    f.target.hold = true;
    f.start(2);
    auto& lost = f.entry();
    auto& other = f.entry(1);
    const auto submission = lost.order(1).submission;
    lost.send_orders({lost.order(1), lost.order(2), lost.order(3)});
    REQUIRE(f.wait_until([&] { return f.target.requests.size() == 2; }));
    f.target.held.front()();
    REQUIRE(f.wait_until([&] { return f.target.requests.size() == 3; }));
    lost.send_orders({lost.order(4)});
    REQUIRE(f.wait_until([&] { return f.agent->statistics().queued == 1; }));

    other.link->send(gather_query{1, submission});
    REQUIRE(f.wait_until([&] { return other.gathered.size() == 1; }));
    CHECK(other.gathered[0].running == 2);
    REQUIRE(other.gathered[0].held.size() == 2);
    CHECK(other.gathered[0].held[0].report.kind == report_kind::answered);
    CHECK(other.gathered[0].held[1].report.kind == report_kind::not_run);

    lost.send_orders({lost.order(5)});
    REQUIRE(f.wait_until([&] { return lost.report_of(5) != nullptr; }));
    CHECK(lost.report_of(5)->error == number(errc::entry_lost));

    lost.send_orders({lost.order(6, 2)});
    REQUIRE(f.wait_until([&] { return f.agent->statistics().queued == 1; }));

    // The entry restarts on the same address as another incarnation.
    lost.incarnation = 200;
    lost.link.reset();
    REQUIRE(f.wait_until([&] { return lost.connections == 2 && lost.link; }));
    f.target.hold = false;
    f.target.release();
    REQUIRE(f.wait_until([&] { return f.agent->statistics().running == 0; }));
    other.link->send(gather_query{2, submission});
    REQUIRE(f.wait_until([&] { return other.gathered.size() == 2; }));
    CHECK(other.gathered[1].running == 0);
    CHECK(other.gathered[1].held.size() == 5);
    CHECK(f.target.requests.size() == 3);
    lost.reports.clear();
    lost.send_orders({lost.order(1)});
    REQUIRE(f.wait_until([&] { return lost.reports.size() == 1; }));
    CHECK(lost.reports[0].kind == report_kind::answered);
    CHECK(f.target.requests.size() == 4);
}

TEST_CASE("agent_process: a target that is withdrawn gets no new task")
{
    struct row
    {
        const char* name;
        std::function<void(agent_fixture&)> withdraw;
    };
    const auto configured = [](auto edit)
    {
        return [edit](agent_fixture& f)
        {
            auto c = f.entry().configuration;
            c.version = config_version(2);
            edit(c);
            f.entry().link->send(c);
        };
    };
    const row rows[] = {
        {"withdrawn",
         [](agent_fixture& f)
         {
             f.call("DELETE", "");
         }},
        {"no announcement for 2 s",
         [](agent_fixture&) {
         }},
        {"draining",
         configured([](auto& c) { c.state = target_state::draining; })},
        {"stopped",
         configured([](auto& c) { c.state = target_state::stopped; })},
        {"removed", configured([](auto& c) { c.in_inventory = false; })},
        {"agent stops",
         [](agent_fixture& f)
         {
             f.agent->begin_stop([] {});
         }},
    };
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            agent_fixture f;
            f.entry().configuration.queue_allowance = 2;
            f.target.hold = true;
            f.start(1);
            auto& entry = f.entry();
            entry.send_orders({entry.order(1), entry.order(2)});
            REQUIRE(
                f.wait_until([&] { return f.target.requests.size() == 1; }));
            r.withdraw(f);
            REQUIRE(f.wait_until([&] { return !entry.target.accepts_work; }));
            CHECK(f.wait_until([&] { return entry.credits == 0; }));
            entry.send_orders({entry.order(3)});
            REQUIRE(
                f.wait_until([&] { return entry.report_of(3) != nullptr; }));
            CHECK(entry.report_of(2)->kind == report_kind::not_run);
            CHECK(entry.report_of(3)->kind == report_kind::not_run);
            f.target.release();
            REQUIRE(
                f.wait_until([&] { return entry.report_of(1) != nullptr; }));
            CHECK(entry.report_of(1)->kind == report_kind::answered);
            CHECK(f.target.requests.size() == 1);
        }
    }
}

TEST_CASE("agent_process: a graceful stop reports the running tasks first")
{
    struct row
    {
        const char* name;
        bool acknowledges;
    };
    const row rows[] = {{"reports acknowledged", true},
                        {"entry never acknowledges", false}};
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            agent_fixture f;
            f.settings.limits.stop_timeout = short_timeout;
            f.target.hold = true;
            f.start();
            auto& entry = f.entry();
            entry.send_orders({entry.order(1)});
            REQUIRE(
                f.wait_until([&] { return f.target.requests.size() == 1; }));
            bool stopped = false;
            f.agent->begin_stop([&] { stopped = true; });
            entry.send_orders({entry.order(2)});
            REQUIRE(
                f.wait_until([&] { return entry.report_of(2) != nullptr; }));
            CHECK(entry.report_of(2)->error == number(errc::process_leaving));
            f.run_for(2 * short_timeout);
            CHECK_FALSE(stopped);
            f.target.release();
            REQUIRE(
                f.wait_until([&] { return entry.report_of(1) != nullptr; }));
            if (r.acknowledges)
            {
                CHECK_FALSE(stopped);
                entry.link->send(acknowledgement{start_sequence(3)});
            }
            CHECK(f.wait_until([&] { return stopped; }));
            CHECK((f.agent->statistics().unacknowledged == 0) ==
                  r.acknowledges);
        }
    }
}

TEST_CASE("agent_process: a stop waits until the entries confirm zero credits")
{
    agent_fixture f;
    f.settings.limits.stop_timeout = std::chrono::seconds(30);
    f.start();
    auto& entry = f.entry();
    REQUIRE(f.wait_until([&] { return entry.credits == 2; }));
    entry.confirms_grants = false;
    bool stopped = false;
    f.agent->begin_stop([&] { stopped = true; });
    // An order that was on the way when the agent began to stop.
    entry.send_orders({entry.order(1)});
    REQUIRE(f.wait_until([&] { return entry.report_of(1) != nullptr; }));
    entry.link->send(acknowledgement{start_sequence(2)});
    f.run_for(short_timeout);
    CHECK_FALSE(stopped);
    entry.confirm_grant();
    CHECK(f.wait_until([&] { return stopped; }));
}

TEST_CASE("agent_process: a cancelled start does not run")
{
    agent_fixture f;
    f.entry().configuration.queue_allowance = 1;
    f.target.hold = true;
    f.start(1);
    auto& entry = f.entry();
    entry.send_orders({entry.order(1), entry.order(2)});
    REQUIRE(f.wait_until([&] { return f.agent->statistics().queued == 1; }));
    entry.link->send(cancel_starts{{start_sequence(2), start_sequence(3)}});
    entry.send_orders({entry.order(3)});
    REQUIRE(f.wait_until([&] { return entry.report_of(3) != nullptr; }));
    f.target.release();
    REQUIRE(f.wait_until([&] { return entry.report_of(1) != nullptr; }));
    CHECK(entry.report_of(2)->error == number(errc::cancelled));
    CHECK(entry.report_of(3)->error == number(errc::cancelled));
    CHECK(f.target.requests.size() == 1);
}

TEST_CASE(
    "agent_process: a run is recorded as events, heartbeats have the version")
{
    agent_fixture f;
    f.entry().configuration.version = config_version(9);
    f.start();
    auto& entry = f.entry();
    entry.send_orders({entry.order(1)});
    REQUIRE(f.wait_until([&] { return !entry.reports.empty(); }));
    event_query query;
    query.filter.submission = "64-1";
    entry.link->send(query);
    REQUIRE(f.wait_until([&] { return !entry.events.empty(); }));
    REQUIRE(entry.events.size() == 3);
    CHECK(entry.events[0].kind == event_kind::start_accepted);
    CHECK(entry.events[1].kind == event_kind::run_began);
    CHECK(entry.events[2].kind == event_kind::run_ended);
    CHECK(entry.events[2].detail == "answered");
    CHECK(f.wait_until([&] { return entry.version == config_version(9); }));
}

TEST_CASE("agent_process: invalid announcements and settings are refused")
{
    agent_fixture f;
    SECTION("a malformed announcement")
    {
        f.start();
        f.last_status = 0;
        f.announce_text(R"({"services":["x"],"slots":"many"})");
        CHECK(f.wait_until([&] { return f.last_status == 400; }));
        CHECK(f.agent->ready());
    }
    SECTION("a remote entry without a shared key")
    {
        f.settings.entries = {{"192.0.2.1", 8201}};
        agent_process agent(
            f.loop, f.clock, f.auth, f.events, [](const log_record&) {},
            f.settings, [] { return uint64_t{1}; });
        const auto started = agent.start();
        REQUIRE(!started);
        CHECK(started.error().code == errc::key_required);
    }
    SECTION("a port in use")
    {
        f.settings.http.port = f.target.port;
        agent_process agent(
            f.loop, f.clock, f.auth, f.events, [](const log_record&) {},
            f.settings, [] { return uint64_t{1}; });
        const auto started = agent.start();
        REQUIRE(!started);
        CHECK(started.error().code == errc::address_in_use);
    }
}
