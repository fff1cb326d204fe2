#include <agatebank/fleet/relay_decision.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

relay_peer peer(uint64_t id, bool same_domain, bool accepts, double utilisation,
                double share, uint32_t unreported = 0)
{
    return {relay_peer_id(id), same_domain, accepts, utilisation, share,
            unreported,        100ms,       1200us};
}

} // namespace

// Guards against relaying a job in a circle, to an entry without processor
// time, or to another failure domain without need (its bytes are charged).
TEST_CASE("relay_decision: a small entry at the peak of a wave beside large "
          "ones")
{
    struct row
    {
        const char* what;
        relay_input input;
        std::vector<relay_peer> peers;
        uint64_t chosen; ///< 0: served here
    };
    auto cheap = peer(1, true, true, 0.5, 0.12, 20);
    cheap.job_time = 200us;
    const row rows[] = {
        {"within its processor time",
         {false, false, 1200us, 1000us},
         {peer(1, true, true, 0.1, 0.5)},
         0},
        {"over",
         {true, false, 1200us, 1000us},
         {peer(1, true, true, 0.1, 0.5)},
         1},
        {"relayed before",
         {true, true, 1200us, 1000us},
         {peer(1, true, true, 0.1, 0.5)},
         0},
        {"no linked entry", {true, false}, {}, 0},
        {"the large one is loaded too",
         {true, false, 1200us, 1000us},
         {peer(1, true, false, 0.65, 0.5)},
         0},
        {"own failure domain first",
         {true, false, 1200us, 1000us},
         {peer(1, false, true, 0.0, 0.5), peer(2, true, true, 0.4, 0.2)},
         2},
        {"another failure domain, as the own one has no processor time",
         {true, false, 1200us, 1000us},
         {peer(1, false, true, 0.3, 0.5), peer(2, true, false, 0.9, 0.5)},
         1},
        {"of two, the one with more spare cores",
         {true, false, 1200us, 1000us},
         {peer(1, true, true, 0.1, 0.12), peer(2, true, true, 0.4, 0.5)},
         2},
        {"the jobs since the last report fill it",
         {true, false, 1200us, 1000us},
         {peer(1, true, true, 0.5, 0.12, 20)},
         0},
        {"the same with jobs that take less processor time",
         {true, false, 1200us, 1000us},
         {cheap},
         1},
        {"a relay takes as much processor time as the job",
         {true, false, 800us, 800us},
         {peer(1, true, true, 0.1, 0.5)},
         0},
    };
    std::mt19937_64 random(20261204);
    const relay_decision decision([&random] { return random(); });
    for (const auto& it : rows)
    {
        INFO(it.what);
        const auto chosen = decision.choose(it.input, it.peers);
        CHECK(chosen.value_or(relay_peer_id(0)).value() == it.chosen);
    }
}

// Guards against several overloaded entries that all send their jobs to the one
// that had most spare processor time in its last report.
TEST_CASE("relay_decision: overloaded entries spread their jobs")
{
    std::vector<relay_peer> peers;
    for (uint64_t i = 1; i <= 4; ++i)
    {
        peers.push_back(peer(i, true, true, 0.1 * static_cast<double>(i), 0.5));
    }
    std::mt19937_64 random(20261204);
    const relay_decision decision([&random] { return random(); });
    std::map<relay_peer_id, int> chosen;
    constexpr int jobs = 4000;
    for (int i = 0; i < jobs; ++i)
    {
        ++chosen[*decision.choose({true, false, 1200us, 1000us}, peers)];
    }
    // Two random candidates of four include the best one in half of the draws.
    CHECK(chosen[relay_peer_id(1)] < jobs * 6 / 10);
    CHECK(chosen[relay_peer_id(2)] > jobs / 5);
    CHECK(chosen[relay_peer_id(4)] == 0);
}
