#include <agatebank/fleet/job_processor_time.hpp>

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

// Guards against an entry that relays although this costs it more than serving,
// and against one that doesn't although it saves processor time: the totals of
// the process don't say which job used the time.
TEST_CASE("job_processor_time: served and relayed jobs are told apart")
{
    using mix = std::vector<std::pair<unsigned, unsigned>>;
    const mix waves = {{95, 5}, {60, 50}, {30, 90}};
    struct row
    {
        const char* what;
        duration serving;
        duration relaying;
        mix jobs; ///< served and relayed in each half second, repeated
        bool relay_saves;
    };
    const row rows[] = {
        {"not measured yet", 1200us, 900us, {{0, 0}}, true},
        {"no relay yet", 900us, 900us, {{100, 0}}, true},
        {"a relay saves a third", 600us, 400us, waves, true},
        {"a relay costs more", 600us, 800us, waves, false},
        {"one mix: the known ratio", 600us, 500us, {{50, 50}}, true},
    };
    for (const auto& it : rows)
    {
        INFO(it.what);
        job_processor_time estimate;
        entry_work work;
        for (std::size_t i = 0; i <= 20; ++i)
        {
            estimate.add_sample(time_point(1h) + i * 500ms, work);
            const auto [served, relayed] = it.jobs[i % it.jobs.size()];
            work.served_jobs += served;
            work.relayed_jobs += relayed;
            work.processor_time += served * it.serving + relayed * it.relaying;
        }
        CHECK((estimate.relaying() < estimate.serving()) == it.relay_saves);
        const auto jobs = work.served_jobs + work.relayed_jobs;
        const auto mean =
            jobs == 0 ? it.serving : work.processor_time / int64_t(jobs);
        CHECK(double(estimate.mean().count()) ==
              Approx(double(mean.count())).epsilon(0.1));
    }
}
