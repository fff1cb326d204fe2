#include <agatebank/fleet/job_forecast.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

const route_name desk_route("r");

step_plan declared_100ms()
{
    step_plan step;
    step.declared_run_time = 100ms;
    return step;
}

target_profile of_kind(const char* kind, int64_t incarnation = 1)
{
    target_profile p;
    p.kind = kind;
    p.incarnation = target_incarnation(incarnation);
    return p;
}

// Learns the given number of runs on each of the targets 1, 2, ..., whose run
// times are given.
void learn(job_forecast& f, const std::vector<duration>& run_times, int runs)
{
    for (int i = 0; i < runs; ++i)
    {
        for (std::size_t t = 0; t < run_times.size(); ++t)
        {
            f.learn(desk_route, declared_100ms(), agent_incarnation(t + 1),
                    run_times[t]);
        }
    }
}

} // namespace

TEST_CASE("job_forecast: learns speeds by target, with a geometric mean of 1")
{
    const agent_incarnation fast(1);
    const agent_incarnation slow(2);
    for (const char* slow_kind : {"a", "b"})
    {
        INFO("kind of the slow target " << slow_kind);
        job_forecast f;
        f.put_target(fast, of_kind("a"));
        f.put_target(slow, of_kind(slow_kind));
        CHECK(f.speed(fast) == 1);
        CHECK_FALSE(f.has_learned_speed(fast));
        learn(f, {50ms, 200ms}, 200);
        CHECK(f.has_learned_speed(fast));
        CHECK(f.speed(fast) > 1.7);
        CHECK(f.speed(slow) < 0.6);
        CHECK(f.speed(fast) * f.speed(slow) == Approx(1));
        const auto one = f.task_run_time(desk_route, declared_100ms());
        CHECK(one.mean > 80ms);
        CHECK(one.mean < 125ms);
    }
}

TEST_CASE("job_forecast: a new target starts with the mean speed of its kind")
{
    struct row
    {
        const char* name;
        uint64_t agent;
        const char* kind;
        int64_t incarnation;
        double least, most;
    };
    const row rows[] = {
        {"second of a fast kind", 3, "a", 1, 1.2, 2},
        {"second of a slow kind", 3, "b", 1, 0.4, 0.8},
        {"the first of its kind", 3, "c", 1, 0.99, 1.01},
        {"new incarnation of the slow one", 2, "a", 2, 0.99, 1.01},
        {"the slow one connected again", 2, "b", 1, 0.3, 0.6}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        job_forecast f;
        f.put_target(agent_incarnation(1), of_kind("a"));
        f.put_target(agent_incarnation(2), of_kind("b"));
        learn(f, {50ms, 200ms}, 200);
        const agent_incarnation agent(it.agent);
        f.put_target(agent, of_kind(it.kind, it.incarnation));
        CHECK(f.speed(agent) > it.least);
        CHECK(f.speed(agent) < it.most);
    }
}

TEST_CASE("job_forecast: the longest chain respects the order of steps")
{
    const job_forecast f;
    const auto a = declared_100ms();
    job_plan plan;
    plan.steps = {a, a, a};
    const auto one = f.longest_chain(desk_route, plan);
    plan.steps[2].after = {0};
    CHECK(f.longest_chain(desk_route, plan) == 2 * one);
    plan.steps[1].after = {0};
    plan.steps[2].after = {0, 1};
    CHECK(f.longest_chain(desk_route, plan) == 3 * one);
    plan.steps = {a};
    plan.steps[0].tasks = 20;
    CHECK(f.longest_chain(desk_route, plan) > one);
}

TEST_CASE("job_forecast: a speed that the agent has learned replaces the own "
          "one, and own runs no longer change it")
{
    const agent_incarnation fast(1);
    const agent_incarnation slow(2);
    job_forecast f;
    f.put_target(fast, of_kind("a"));
    f.put_target(slow, of_kind("a"));
    f.set_learned_speed(fast, 2);
    f.set_learned_speed(slow, 0.5);
    CHECK(f.has_learned_speed(fast));
    CHECK(f.speed(fast) == Approx(2));
    CHECK(f.speed(slow) == Approx(0.5));
    learn(f, {100ms, 100ms}, 50);
    CHECK(f.speed(fast) == Approx(2));
    CHECK(f.speed(slow) == Approx(0.5));
    f.set_learned_speed(agent_incarnation(3), 9); // not connected
    CHECK(f.speed(fast) == Approx(2));
}

TEST_CASE("job_forecast: reference times are known once the route has been "
          "learned, and don't depend on the target")
{
    job_forecast f;
    f.put_target(agent_incarnation(1), of_kind("a"));
    f.put_target(agent_incarnation(2), of_kind("a"));
    const auto reference = [&f](uint64_t target)
    {
        const agent_incarnation id(target);
        const auto typical =
            f.task_run_time(desk_route, declared_100ms()).typical;
        return f.reference_time(
            desk_route, id,
            duration(static_cast<int64_t>(static_cast<double>(typical.count()) /
                                          f.speed(id))));
    };
    learn(f, {50ms, 200ms}, 10);
    CHECK_FALSE(reference(1));
    learn(f, {50ms, 200ms}, 200);
    REQUIRE(reference(1));
    CHECK(static_cast<double>(reference(1)->count()) ==
          Approx(static_cast<double>(reference(2)->count())).epsilon(0.01));
}
