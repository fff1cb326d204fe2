#include "measures.hpp"
#include "report.hpp"

#include <catch2/catch.hpp>

using namespace agatebank::experiment;

namespace
{

std::string run_quick(const scenario& sc)
{
    std::vector<run_measures> runs;
    const auto first_site = all_sites().front();
    for (const auto& version : all_versions())
    {
        const auto run = simulate(first_site, sc, version);
        runs.push_back(measure(first_site, sc, version, run));
    }
    return to_csv(runs) + to_markdown(runs);
}

} // namespace

TEST_CASE("experiment: two runs with the same seed give identical reports")
{
    for (const auto& sc : all_scenarios(true))
    {
        SECTION(sc.name)
        {
            CHECK(run_quick(sc) == run_quick(sc));
        }
    }
}

TEST_CASE("experiment: every job ends and none completes before its ideal time")
{
    const auto first_site = all_sites().front();
    for (const auto& sc : all_scenarios(true))
    {
        for (const auto& version : all_versions())
        {
            SECTION(sc.name + ", " + version.name)
            {
                const auto run = simulate(first_site, sc, version);
                for (const auto& job : run.jobs)
                {
                    REQUIRE(job.end != job_end::pending);
                    REQUIRE((job.end != job_end::complete ||
                             job.response >= job.ideal));
                }
            }
        }
    }
}
