#include "node_cluster.hpp"
#include <agatebank/harness/run_until.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace agatebank;
using namespace std::chrono_literals;

// Guards against a job that is refused (503) and runs nevertheless: a copy of
// the call to start its task was refused, so the order ended as not run or was
// queued again, while the target still carried out the first copy.
TEST_CASE("refused starts: a job that is answered 503 has no start")
{
    for (const unsigned status : {409, 503})
    {
        for (const auto delay : {100ms, 150ms, 200ms})
        {
            node_cluster c({1, 1});
            REQUIRE(c.wait_ready());
            c.targets[0]->set_refuses_repeated_starts(delay, status);
            const auto job = c.submit(0, "00000000000000ab", 1, 1s);
            REQUIRE(c.wait_ended(job));
            run_for(c.loop, 2s);
            const auto starts = c.ledger.starts["00000000000000ab.0.0.0"];
            INFO("repeated calls answered " << status << ", first one after "
                                            << delay.count()
                                            << " ms; job: " << c.job(job).status
                                            << ", starts: " << starts);
            CHECK((c.job(job).status != 503 || starts == 0));
        }
    }
}
