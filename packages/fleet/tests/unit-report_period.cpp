#include <agatebank/fleet/report_period.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

// Guards against a small entry that spends its processor share on reports, and
// against other decisions in deployments where reports cost little.
TEST_CASE("report_period: receiving takes a tenth of the processor share")
{
    struct row
    {
        const char* what;
        double share;
        std::size_t agents;
        duration period;
    };
    const row rows[] = {
        {"no processor share", 0, 52, 25ms},
        {"invalid processor share", -0.1, 52, 25ms},
        {"earlier deployment", 0.25, 11, 25ms},
        {"no agent yet", 0.12, 0, 25ms},
        // 52 x 25 us / (0.1 x 0.12)
        {"waves on a small entry", 0.12, 52, 108'333us},
        {"the same on a large one", 0.5, 52, 26ms},
        {"more agents than it can serve", 0.09, 200, 400ms},
        {"share above one core: one thread", 4, 1600, 400ms},
    };
    for (const auto& it : rows)
    {
        INFO(it.what);
        CHECK(to_report_period(it.share, it.agents) == it.period);
    }
}

TEST_CASE("report_period: bad values are limited, and small changes not told")
{
    CHECK(clamp_report_period(0us) == 25ms);
    CHECK(clamp_report_period(duration::min()) == 25ms);
    CHECK(clamp_report_period(duration::max()) == 400ms);
    CHECK_FALSE(is_new_report_period(100ms, 124ms));
    CHECK(is_new_report_period(100ms, 125ms));
    CHECK_FALSE(is_new_report_period(100ms, 81ms));
    CHECK(is_new_report_period(100ms, 80ms));
    CHECK(small_change_report_period(25ms) == 100ms);
    CHECK(small_change_report_period(108ms) == 400ms);
}
