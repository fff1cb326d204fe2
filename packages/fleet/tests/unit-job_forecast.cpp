#include <agatebank/fleet/job_forecast.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

target_map two_kinds()
{
    target_map out;
    uint64_t n = 0;
    for (const char* kind : {"fast", "slow"})
    {
        target_profile p;
        p.kind = kind;
        out.emplace(agent_incarnation(++n), target_record(p));
    }
    return out;
}

} // namespace

TEST_CASE("job_forecast: speeds are learned by kind, around a mean of 1")
{
    const auto targets = two_kinds();
    const auto& fast = targets.at(agent_incarnation(1)).profile();
    const auto& slow = targets.at(agent_incarnation(2)).profile();
    const route_name route("r");
    step_plan step;
    step.declared_run_time = 100ms;
    job_forecast f;
    f.set_targets(targets);
    CHECK(f.speed(fast) == 1);
    for (int i = 0; i < 200; ++i)
    {
        f.learn(route, step, fast, 50ms);
        f.learn(route, step, slow, 200ms);
    }
    f.set_targets(targets);
    CHECK(f.speed(fast) > 1.7);
    CHECK(f.speed(slow) < 0.6);
    CHECK(f.speed(fast) * f.speed(slow) == Approx(1));
    CHECK(f.one_task(route, step).mean > 80ms);
    CHECK(f.one_task(route, step).mean < 125ms);
}

TEST_CASE("job_forecast: the longest chain follows the steps' order")
{
    const job_forecast f;
    const route_name route("r");
    step_plan a;
    a.declared_run_time = 100ms;
    job_plan plan;
    plan.steps = {a, a, a};
    const auto one = f.longest_chain(route, plan);
    plan.steps[2].after = {0};
    CHECK(f.longest_chain(route, plan) == 2 * one);
    plan.steps[1].after = {0};
    plan.steps[2].after = {0, 1};
    CHECK(f.longest_chain(route, plan) == 3 * one);
    plan.steps = {a};
    plan.steps[0].tasks = 20;
    CHECK(f.longest_chain(route, plan) > one);
}
