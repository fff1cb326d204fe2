#include <agatebank/fleet/entry_load_exchange.hpp>
#include <agatebank/fleet/processor_load.hpp>

#include <catch2/catch.hpp>

#include <cmath>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

} // namespace

// Guards against an entry that alternates between relaying and serving with
// each sample, and against one that never counts as over because it is
// throttled before it reaches its share.
TEST_CASE("processor_load: over and spare begin and end at different levels")
{
    struct row
    {
        const char* what;
        double share;
        std::vector<double> cores; ///< used in each half second
        bool over;
        bool spare;
    };
    const row rows[] = {
        {"idle", 0.12, {0}, false, true},
        {"small entry at the top of a wave, throttled",
         0.12,
         {0.118},
         true,
         false},
        {"between the levels, was idle", 0.12, {0, 0.085}, false, false},
        {"between the levels, was over", 0.12, {0.118, 0.085}, true, false},
        {"below the lower level", 0.12, {0.118, 0.07}, false, false},
        {"spare until 60 %", 0.5, {0.1, 0.28}, false, true},
        {"not spare again above 50 %", 0.5, {0.4, 0.28}, false, false},
        {"large entry with the work of the small one",
         0.5,
         {0.118},
         false,
         true},
        {"not limited: one core", 0, {0.9}, true, false},
        {"more than a core: one thread uses one", 2, {0.9}, true, false},
    };
    for (const auto& it : rows)
    {
        INFO(it.what);
        processor_load load(it.share);
        auto now = start;
        duration used{};
        load.add_sample(now, used);
        for (const auto cores : it.cores)
        {
            for (int i = 0; i < 13; ++i)
            {
                now += 40ms;
                used += duration(std::lround(40'000 * cores));
                load.add_sample(now, used);
            }
        }
        CHECK(load.over() == it.over);
        CHECK(load.spare() == it.spare);
    }
}

// Guards against a decision that rests on a few milliseconds after a start, and
// against old load that outlives the stated span.
TEST_CASE("processor_load: measures over 250 to 500 ms")
{
    processor_load load(1);
    load.add_sample(start, 0ms);
    load.add_sample(start + 240ms, 240ms);
    CHECK_FALSE(load.utilisation());
    load.add_sample(start + 260ms, 260ms);
    CHECK(load.utilisation() == Approx(1));
    for (auto t = 300ms; t <= 800ms; t += 40ms)
    {
        load.add_sample(start + t, 260ms);
    }
    CHECK(load.utilisation() == Approx(0).margin(0.01));
}

// Guards against load messages at the rate of the timer or of the jobs.
TEST_CASE("entry_load_exchange: sends a changed load at most every 200 ms")
{
    std::vector<entry_load> sent;
    entry_load_exchange x({0.5, failure_domain_name("a"), true},
                          [&](relay_peer_id, const entry_load& l)
                          { sent.push_back(l); });
    x.add_peer(relay_peer_id(1));
    auto now = start;
    duration used{};
    const auto run = [&](int ticks, double cores)
    {
        for (int i = 0; i < ticks; ++i)
        {
            now += 40ms;
            used += duration(std::lround(40'000 * cores));
            x.tick(now, {used, 0, 0}, 3, true);
        }
    };
    run(50, 0.1);
    CHECK(sent.size() == 1);
    CHECK(sent.back().accepts_relays);
    sent.clear();
    for (int i = 0; i < 25; ++i) // 2 s of changing load
    {
        run(2, i % 2 == 0 ? 0.49 : 0);
    }
    CHECK(sent.size() <= 10);
    run(50, 0.49);
    CHECK_FALSE(sent.back().accepts_relays);
    x.retire_peer(relay_peer_id(1));
    sent.clear();
    run(50, 0);
    CHECK(sent.empty());
}

// Guards against load messages where relaying is off.
TEST_CASE("entry_load_exchange: sends nothing where relaying is off")
{
    int sent = 0;
    entry_load_exchange x({0.5, failure_domain_name("a"), false},
                          [&](relay_peer_id, const entry_load&) { ++sent; });
    x.add_peer(relay_peer_id(1));
    for (int i = 1; i < 100; ++i)
    {
        x.tick(start + i * 40ms, {i * 20ms, 0, 0}, 3, true);
    }
    x.retire_peer(relay_peer_id(1));
    CHECK(x.own().over());
    CHECK(sent == 0);
}
