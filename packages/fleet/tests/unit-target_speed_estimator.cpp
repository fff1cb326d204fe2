#include <agatebank/fleet/job_forecast.hpp>
#include <agatebank/fleet/target_speed_estimator.hpp>

#include <catch2/catch.hpp>

#include <cmath>
#include <random>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

const route_name desk_route("r");

duration to_duration(double us)
{
    return duration(static_cast<int64_t>(us));
}

// Entries that share targets with known speeds. Each entry sends every run to a
// random target and learns the route; each agent learns its target's speed from
// the references, and tells it to all entries.
struct shared_learning
{
    std::vector<double> real_speeds;
    std::vector<job_forecast> entries;
    std::vector<target_speed_estimator> agents;
    std::mt19937 random{20261204};

    shared_learning(std::vector<double> speeds, std::size_t entry_count)
        : real_speeds(std::move(speeds)), agents(real_speeds.size())
    {
        for (std::size_t i = 0; i < entry_count; ++i)
        {
            add_entry();
        }
    }

    static agent_incarnation id(std::size_t agent)
    {
        return agent_incarnation(agent + 1);
    }

    void add_entry()
    {
        entries.emplace_back();
        for (std::size_t i = 0; i < agents.size(); ++i)
        {
            entries.back().put_target(id(i), target_profile());
            tell_speed(entries.back(), i);
        }
    }

    void tell_speed(job_forecast& entry, std::size_t agent)
    {
        if (agents[agent].is_learned())
        {
            entry.set_learned_speed(id(agent), agents[agent].speed());
        }
    }

    void run(int runs)
    {
        std::uniform_int_distribution<std::size_t> any_agent(0,
                                                             agents.size() - 1);
        std::uniform_int_distribution<std::size_t> any_entry(0, entries.size() -
                                                                    1);
        std::normal_distribution<double> work_deviation(0, 0.3);
        step_plan step;
        step.declared_run_time = 100ms;
        for (int i = 0; i < runs; ++i)
        {
            const auto agent = any_agent(random);
            auto& entry = entries[any_entry(random)];
            const auto measured =
                to_duration(100'000 * std::exp(work_deviation(random)) /
                            real_speeds[agent]);
            const auto expected = to_duration(
                static_cast<double>(
                    entry.task_run_time(desk_route, step).typical.count()) /
                entry.speed(id(agent)));
            const auto reference =
                entry.reference_time(desk_route, id(agent), expected);
            entry.learn(desk_route, step, id(agent), measured);
            agents[agent].observe(reference.value_or(0us), measured);
            for (auto& it : entries)
            {
                tell_speed(it, agent);
            }
        }
    }

    // Largest error of the ratio between two targets' speeds at an entry, as a
    // natural logarithm.
    double largest_error(const job_forecast& entry) const
    {
        double out = 0;
        for (std::size_t i = 1; i < agents.size(); ++i)
        {
            const double ratio = entry.speed(id(i)) / entry.speed(id(0));
            out = std::max(out, std::abs(std::log(ratio * real_speeds[0] /
                                                  real_speeds[i])));
        }
        return out;
    }
};

} // namespace

TEST_CASE("target_speed_estimator: follows runs of a target within 10 %, and a "
          "stalled run hardly changes it")
{
    struct row
    {
        double speed;
    };
    for (const auto& it : {row{0.5}, row{1}, row{1.7}})
    {
        target_speed_estimator e;
        CHECK(e.speed() == 1);
        for (uint32_t i = 0; i < min_learned_runs; ++i)
        {
            CHECK_FALSE(e.is_learned());
            e.observe(100ms, to_duration(100'000 / it.speed));
        }
        CHECK(e.is_learned());
        CHECK(e.speed() == Approx(it.speed).epsilon(0.1));
        e.observe(100ms, 60s);
        CHECK(e.speed() == Approx(it.speed).epsilon(0.1));
        e.observe(0ms, 100ms); // without a reference
        CHECK(e.runs() == min_learned_runs + 1);
        e.reset();
        CHECK(e.runs() == 0);
    }
}

// Guards against entries and agents that disagree about the scale of speeds,
// and against entries that see too few runs of each target to learn it.
TEST_CASE("target_speed_estimator: entries that share what agents learn agree, "
          "and a new entry knows the speeds at once")
{
    shared_learning system({0.7, 0.7, 1.7, 1.2, 0.5, 1.0}, 8);
    system.run(8000);
    for (const auto& it : system.entries)
    {
        CHECK(system.largest_error(it) < 0.2);
    }
    system.add_entry();
    const auto& added = system.entries.back();
    CHECK(added.has_learned_speed(shared_learning::id(0)));
    CHECK(system.largest_error(added) < 0.2);
    // The first runs of the new entry don't disturb what the others know.
    system.run(200);
    for (const auto& it : system.entries)
    {
        CHECK(system.largest_error(it) < 0.2);
    }
}
