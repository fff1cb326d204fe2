#include <agatebank/fleet/placement_explanation.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point now{1h};

void add_target(target_map& targets, uint64_t agent, int64_t used,
                const char* rack, bool accepts_work = true)
{
    target_profile p;
    p.target = "t" + std::to_string(agent);
    p.service = service_name("desk");
    p.capacity = {16000, 65536, 0};
    p.labels = {rack};
    target_load load;
    load.accepts_work = accepts_work;
    load.used.cpu_millis = used;
    load.mean_run_us = 320'000;
    target_load_tracker t(p);
    t.set_load(load);
    targets.emplace(agent_incarnation(agent), t);
}

} // namespace

// Guards against an explanation that names another target than the one chosen,
// or another reason than the component in which the ranks differ.
TEST_CASE("placement_explanation: names the component that decided")
{
    target_map targets;
    add_target(targets, 1, 0, "a");
    add_target(targets, 2, 4000, "a");
    add_target(targets, 3, 12000, "a");
    add_target(targets, 4, 0, "a");
    add_target(targets, 5, 0, "a", false);
    add_target(targets, 6, 0, "a");
    step_plan step;
    step.task_resources = {1000, 64, 0};
    placement_request rq;
    rq.service = service_name("desk");
    rq.step = &step;
    rq.expected = {100ms, 100ms, 100ms};
    rq.time_to_objective = 300ms;
    rq.stretch = 1.6;
    const auto speed = [](agent_incarnation agent)
    {
        return agent.value() == 4 ? 2.0 : agent.value() == 6 ? 0.2 : 1.0;
    };
    const auto e = explain_placement(targets, rq, speed, now, 4);
    REQUIRE(e.chosen);
    CHECK(e.chosen->agent == choose_target(targets, rq, speed, now)->agent);
    CHECK(e.chosen->target == "t1");
    CHECK(e.chosen->rank == "in time, start in 0 ms, end in 100 ms, run time "
                            "100 ms, utilisation 6 %");
    CHECK(e.unusable == 1);
    CHECK(e.locality.empty());
    const std::pair<const char*, const char*> passed[] = {
        {"t2", "higher utilisation"},
        {"t4", "faster than needed, kept for longer tasks"},
        {"t3", "crowded"},
        {"t6", "late"}};
    REQUIRE(e.passed_over.size() == std::size(passed));
    for (std::size_t i = 0; i < std::size(passed); ++i)
    {
        CHECK(e.passed_over[i].target == passed[i].first);
        CHECK(e.passed_over[i].decided_by == passed[i].second);
    }
    CHECK(explain_placement(targets, rq, speed, now, 1).passed_over.size() ==
          1);
    CHECK_FALSE(explain_placement({}, rq, speed, now, 1).chosen);
}

TEST_CASE("placement_explanation: names the decision on the data's rack")
{
    target_map targets;
    add_target(targets, 1, 16000, "near");
    add_target(targets, 2, 0, "far");
    step_plan step;
    step.task_resources = {1000, 64, 0};
    step.data_rack = "near";
    const locality_rule rule = decide_locality;
    placement_request rq;
    rq.service = service_name("desk");
    rq.step = &step;
    rq.expected = {100ms, 100ms, 100ms};
    rq.time_to_objective = 200ms;
    rq.time_to_last_useful = 600ms;
    rq.stretch = 1.6;
    rq.remote_data_factor = 2;
    rq.locality = &rule;
    const auto speed = [](agent_incarnation)
    {
        return 1.0;
    };
    const auto waits = explain_placement(targets, rq, speed, now, 1);
    CHECK(waits.chosen->target == "t1");
    CHECK(waits.passed_over[0].decided_by == "outside the rack of the data");
    CHECK(waits.locality.find("expected gain") != std::string::npos);
    rq.may_wait_near_data = false;
    const auto leaves = explain_placement(targets, rq, speed, now, 1);
    CHECK(leaves.chosen->target == "t2");
    CHECK(leaves.passed_over[0].decided_by ==
          "waiting near the data does not pay off");
}
