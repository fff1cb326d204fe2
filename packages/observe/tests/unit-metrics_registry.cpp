#include <agatebank/observe/metrics_registry.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

using namespace agatebank;

namespace
{

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("metrics_registry: Prometheus text and JSON show every kind")
{
    metrics_registry metrics;
    const auto starts = metrics.add_counter(
        {"starts_total", "Starts sent.", {{"service", "a\"b\\c\nd"}}});
    metrics.add_gauge({"queued", "Tasks waiting.", {}}, [] { return 2.5; });
    const auto round_trip =
        metrics.add_distribution({"trip_seconds", "Round trip.", {}});
    metrics.increment(starts, 3);
    metrics.observe(round_trip, 0.25);

    const char* lines[] = {
        "# HELP starts_total Starts sent.\n# TYPE starts_total counter\n",
        "starts_total{service=\"a\\\"b\\\\c\\nd\"} 3\n",
        "# TYPE queued gauge\nqueued 2.5\n",
        "# TYPE trip_seconds summary\n",
        "trip_seconds{quantile=\"0.5\"} 0.25\n",
        "trip_seconds{quantile=\"0.99\"} 0.25\n",
        "trip_seconds_sum 0.25\ntrip_seconds_count 1\n",
        "# TYPE trip_seconds_max gauge\ntrip_seconds_max 0.25\n"};
    const auto text = metrics.to_prometheus();
    for (const char* line : lines)
    {
        INFO(line);
        CHECK(contains(text, line));
    }
    const auto json = metrics.to_json().at("metrics");
    CHECK(json.at(0).at("labels").at("service") == "a\"b\\c\nd");
    CHECK(json.at(0).at("value") == 3);
    CHECK(json.at(1).at("kind") == "gauge");
    CHECK(json.at(2).at("p99") == 0.25);
}

TEST_CASE("metrics_registry: name and labels identify one series")
{
    metrics_registry metrics;
    const auto a = metrics.add_counter({"n_total", "N.", {{"l", "1"}}});
    const auto b = metrics.add_counter({"n_total", "N.", {{"l", "2"}}});
    CHECK(a != b);
    CHECK(metrics.add_counter({"n_total", "N.", {{"l", "1"}}}) == a);

    const metric_key invalid_keys[] = {{"9n", "", {}},
                                       {"n-total", "", {}},
                                       {"", "", {}},
                                       {"m", "", {{"a:b", ""}}}};
    for (const auto& key : invalid_keys)
    {
        CHECK_THROWS_AS(metrics.add_counter(key), std::invalid_argument);
    }
    CHECK_THROWS_AS(metrics.add_distribution({"n_total", "", {}}),
                    std::invalid_argument);
}

TEST_CASE("metrics_registry: quantiles match those of the sorted samples")
{
    struct row
    {
        const char* name;
        std::size_t samples;
        double tolerance; ///< relative to the exact value
    };
    const row rows[] = {{"none", 0, 0},
                        {"one", 1, 0},
                        {"exact", 32, 0},
                        {"estimated", 20000, 0.05}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            metrics_registry metrics;
            const auto id = metrics.add_distribution({"d", "D.", {}});
            std::mt19937 random(20261204);
            std::exponential_distribution<double> draw(1.0);
            std::vector<double> sorted;
            for (std::size_t i = 0; i < row.samples; ++i)
            {
                sorted.push_back(draw(random));
                metrics.observe(id, sorted.back());
            }
            std::sort(sorted.begin(), sorted.end());
            const auto s = metrics.summary(id);
            REQUIRE(s.count == row.samples);
            if (sorted.empty())
            {
                CHECK(s.p99 == 0);
                continue;
            }
            const auto rank = [&](std::size_t percent)
            {
                return sorted[(sorted.size() * percent + 99) / 100 - 1];
            };
            CHECK(s.max == sorted.back());
            CHECK(std::abs(s.p50 - rank(50)) <= row.tolerance * rank(50));
            CHECK(std::abs(s.p99 - rank(99)) <= row.tolerance * rank(99));
        }
    }
}
