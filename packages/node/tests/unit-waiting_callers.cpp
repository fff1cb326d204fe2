#include <agatebank/node/waiting_callers.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

// Guards against a caller without an answer: an older request of its job, read
// after the newer one, takes its place, and cancels the job when it ends.
TEST_CASE("waiting_callers: of two requests for a job, the newer one waits and "
          "the other is answered as abandoned")
{
    struct row
    {
        const char* name;
        std::optional<time_point> accepted_first; ///< of the one read first
        std::optional<time_point> accepted_second;
        uint64_t waiting;
    };
    const time_point t{1h};
    const row rows[] = {
        {"in the order of their connections", t, t + 1ms, 2},
        {"the older connection read later", t + 1ms, t, 1},
        {"accepted at once", t, t, 2},
        {"first one reuses a connection", {}, t, 2},
        {"second one reuses a connection", t, {}, 2},
        {"both reuse one", {}, {}, 2},
    };
    for (const auto& it : rows)
    {
        INFO(it.name);
        std::map<uint64_t, std::vector<job_result>> answers;
        const auto caller =
            [&answers](uint64_t n, std::optional<time_point> accepted)
        {
            return job_caller{n, accepted,
                              [&answers, n](const job_outcome& o)
                              {
                                  answers[n].push_back(o.result);
                              }};
        };
        waiting_callers w;
        w.add(job_key(7), caller(1, it.accepted_first));
        w.attach(job_key(7), caller(2, it.accepted_second));
        const auto other = 3 - it.waiting;
        CHECK(answers[it.waiting].empty());
        CHECK(answers[other] == std::vector<job_result>{job_result::abandoned});
        // The end of its connection doesn't concern the job.
        CHECK_FALSE(w.remove(other));
        const auto found = w.take(job_key(7));
        REQUIRE(found);
        CHECK(found->request == it.waiting);
        CHECK_FALSE(w.remove(it.waiting));
        CHECK_FALSE(w.take(job_key(7)));
    }
}

// Guards against a job that goes on after the request that waits for it ended.
TEST_CASE("waiting_callers: tells which job a request waits for")
{
    waiting_callers w;
    w.add(job_key(7), {1, {}, [](const job_outcome&) {
                       }});
    w.add(job_key(8), {2, {}, [](const job_outcome&) {
                       }});
    CHECK(w.remove(2) == job_key(8));
    CHECK_FALSE(w.remove(2));
    CHECK_FALSE(w.take(job_key(8)));
    CHECK(w.take(job_key(7)));
}
