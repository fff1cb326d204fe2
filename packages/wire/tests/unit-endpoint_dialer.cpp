#include <agatebank/wire/endpoint_dialer.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace agatebank;

TEST_CASE("endpoint_dialer: the delay doubles to its bound, half of it jitter")
{
    struct row
    {
        unsigned failures;
        int shortest_ms;
        int longest_ms;
    };
    const row rows[] = {{0, 50, 100},
                        {1, 100, 200},
                        {2, 200, 400},
                        {4, 800, 1600},
                        {5, 1000, 2000},
                        {6, 1000, 2000},
                        {4000000000U, 1000, 2000}};
    for (const auto& r : rows)
    {
        SECTION(std::to_string(r.failures) + " failures")
        {
            rc::prop(
                "the delay is inside its range",
                [&](uint64_t random)
                {
                    const auto d = dial_delay(r.failures, random);
                    RC_ASSERT(d >= std::chrono::milliseconds(r.shortest_ms));
                    RC_ASSERT(d <= std::chrono::milliseconds(r.longest_ms));
                });
        }
    }
}
