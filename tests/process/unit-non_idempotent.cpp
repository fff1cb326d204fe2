// Guards against a task that is sent again after the target closed the
// connection or answered invalidly, at any point of the exchange.
#include "small_cluster.hpp"

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t jobs = 10;

const char* const closing_modes[] = {
    "close_before_read", "close_after_head",
    "close_after_body",  "half_answer_then_close",
    "unframed_answer",   "garbage",
    "fail_fast"};

} // namespace

TEST_CASE("a target that closes the connection receives each request once",
          "[non_idempotent]")
{
    for (const std::string mode : closing_modes)
    {
        SECTION(mode)
        {
            small_options o;
            o.entries = 1;
            o.targets = 1;
            auto options = make_cluster_options(o);
            options.targets.front().mode = mode;
            cluster_fixture t(options);
            std::size_t sent = 0;
            for (std::size_t i = 0; i < jobs; ++i)
            {
                const bool idempotent = i % 2 == 1;
                const auto r = t.submit_now(0, t.reserve(0),
                                            make_job(mode + std::to_string(i),
                                                     1, 20, idempotent, "now"));
                CHECK(r.state != "complete");
                sent += r.state == "failed" && r.run == "may-have-run" ? 1 : 0;
            }
            const auto starts = t.nodes.read_ledger();
            CHECK(starts.starts().size() + starts.connections() == sent);
            CHECK(sent > 0);
            t.check_invariants();
        }
    }
}
