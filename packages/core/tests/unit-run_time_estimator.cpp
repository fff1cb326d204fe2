#include <agatebank/core/run_time_estimator.hpp>

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr int runs = 4000;

// Returns an estimator that has learned from runs of lognormal size with a
// tail, on targets of three speeds.
// @param hint_error largest factor by which a declared time is wrong
run_time_estimator learn(double hint_error)
{
    run_time_estimator times(true);
    std::mt19937_64 random(7);
    std::normal_distribution<double> normal;
    std::uniform_real_distribution<double> uniform(-1, 1);
    const double speeds[] = {2, 1, 0.5};
    for (int i = 0; i < runs; ++i)
    {
        const double tail = i % 50 == 0 ? 8 : 1;
        const double size_ms = 200 * std::exp(0.5 * normal(random)) * tail;
        const double error = std::pow(hint_error, uniform(random));
        const int target = i % 3;
        times.observe(
            service_name("s"), agent_incarnation(target),
            duration(static_cast<int64_t>(size_ms * error * 1000)),
            duration(static_cast<int64_t>(size_ms * 1000 / speeds[target])));
    }
    return times;
}

double ratio(duration a, duration b)
{
    return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

} // namespace

TEST_CASE("run_time_estimator: weighs declared times by their accuracy")
{
    struct row
    {
        const char* name;
        double hint_error;
        double least_spread; // of predictions for 10 times the declared time
        double most_spread;
    };
    const row rows[] = {
        {"declared times are exact", 1, 7, 10.5},
        {"declared times are wrong by a factor of up to 10", 10, 1, 3}};
    for (const auto& r : rows)
    {
        SECTION(r.name)
        {
            const auto times = learn(r.hint_error);
            const auto speed = [&](uint64_t i)
            {
                return times.speed(agent_incarnation(i));
            };
            CHECK(speed(0) / speed(1) == Approx(2).epsilon(0.25));
            CHECK(speed(1) / speed(2) == Approx(2).epsilon(0.25));

            const auto plain = times.predict(service_name("s"), std::nullopt);
            CHECK(ratio(plain.high, plain.mean) > 3);
            const auto low = times.predict(service_name("s"), 100ms);
            const auto high = times.predict(service_name("s"), 1s);
            CHECK(ratio(high.mean, low.mean) >= r.least_spread);
            CHECK(ratio(high.mean, low.mean) <= r.most_spread);
        }
    }
}

TEST_CASE("run_time_estimator: one extreme run hardly changes predictions")
{
    auto times = learn(10);
    const auto before = times.predict(service_name("s"), 200ms).mean;
    const auto speed = times.speed(agent_incarnation(0));
    times.observe(service_name("s"), agent_incarnation(0), 200ms, 1h);
    CHECK(ratio(times.predict(service_name("s"), 200ms).mean, before) < 1.1);
    CHECK(times.speed(agent_incarnation(0)) / speed > 0.9);
}

TEST_CASE("run_time_estimator: without learning the declared time is predicted")
{
    run_time_estimator times(false);
    times.observe(service_name("s"), agent_incarnation(0), 1s, 10ms);
    CHECK(times.predict(service_name("s"), 1s).mean == 1s);
    CHECK(times.speed(agent_incarnation(0)) == 1);
}
