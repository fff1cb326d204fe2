#include <agatebank/node/announcement_filter.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

using verdict = announcement_verdict;

const time_point start{1h};

target_announcement announced(const std::string& target, uint64_t born,
                              uint64_t sequence)
{
    target_announcement out;
    out.profile.target = target;
    out.profile.incarnation = target_incarnation(born);
    out.sequence = sequence;
    return out;
}

} // namespace

// Guards against one announcement with a high sequence number because of which
// all that follow look delayed.
TEST_CASE("announcement_filter: announcements of the followed incarnation")
{
    struct row
    {
        duration age; ///< since the one with sequence number 5000
        uint64_t sequence;
        verdict expected;
    };
    const row rows[] = {{100ms, 5001, verdict::update},
                        {100ms, 6000, verdict::update},
                        {100ms, 6001, verdict::implausible},
                        {100ms, 5000, verdict::delayed},
                        {100ms, 1, verdict::delayed},
                        {2900ms, 4999, verdict::delayed},
                        {3s, 4999, verdict::update},
                        {3s, 5000, verdict::delayed},
                        {3s, 1, verdict::update},
                        {3s, 900'000, verdict::update}};
    for (const auto& it : rows)
    {
        INFO(it.sequence << " after " << it.age.count() << " us");
        announcement_filter f;
        REQUIRE(f.judge(announced("i", 10, 5000), start) == verdict::adopt);
        CHECK(f.judge(announced("i", 10, it.sequence), start + it.age) ==
              it.expected);
    }
}

// Guards against an announcement of another writer that takes over although the
// target goes on answering as before.
TEST_CASE("announcement_filter: while the target answers, no other incarnation "
          "is followed")
{
    announcement_filter f;
    REQUIRE(f.judge(announced("i", 10, 1), start) == verdict::adopt);
    for (auto age = 0ms; age < 5s; age += 400ms)
    {
        CHECK_FALSE(f.on_answer(target_incarnation(10), start + age));
        CHECK(f.judge(announced("i", 11, 1), start + age + 10ms) ==
              verdict::implausible);
        CHECK(f.judge(announced("j", 11, 1), start + age + 10ms) ==
              verdict::implausible);
        CHECK(f.judge(announced("i", 9, 1), start + age + 10ms) ==
              verdict::delayed);
    }
}

// Guards against an agent that ignores its target for ever, as it followed
// another writer's announcement of a later incarnation first.
TEST_CASE("announcement_filter: the incarnation that the target names is "
          "followed")
{
    announcement_filter f;
    REQUIRE(f.judge(announced("i", 99, 7), start) == verdict::adopt);
    CHECK(f.judge(announced("i", 10, 1), start + 10ms) == verdict::delayed);
    const auto own = f.on_answer(target_incarnation(10), start + 20ms);
    REQUIRE(own);
    CHECK(own->profile.incarnation == target_incarnation(10));
    CHECK(f.judge(announced("i", 10, 2), start + 30ms) == verdict::update);
    CHECK(f.judge(announced("i", 99, 8), start + 30ms) == verdict::implausible);
}

// Guards against the same with another id, which the target refuses calls for.
TEST_CASE("announcement_filter: another id is followed once the target refuses "
          "calls for the followed one")
{
    announcement_filter f;
    REQUIRE(f.judge(announced("j", 99, 7), start) == verdict::adopt);
    CHECK_FALSE(f.on_wrong_target(start + 20ms));
    CHECK(f.judge(announced("i", 10, 1), start + 30ms) == verdict::adopt);
    CHECK_FALSE(f.on_answer(target_incarnation(10), start + 40ms));
}

// Guards against a restarted target that is not followed, at once or as soon as
// a call shows the restart.
TEST_CASE("announcement_filter: a restarted target is followed")
{
    SECTION("it accepted no connections before")
    {
        announcement_filter f;
        REQUIRE(f.judge(announced("i", 10, 50), start) == verdict::adopt);
        f.on_answer(target_incarnation(10), start + 20ms);
        f.on_unreachable();
        CHECK(f.judge(announced("i", 9, 51), start + 30ms) == verdict::delayed);
        CHECK(f.judge(announced("i-2", 11, 1), start + 30ms) == verdict::adopt);
    }
    SECTION("it announced itself before a call failed")
    {
        announcement_filter f;
        REQUIRE(f.judge(announced("i", 10, 50), start) == verdict::adopt);
        f.on_answer(target_incarnation(10), start + 20ms);
        CHECK(f.judge(announced("i-2", 11, 1), start + 30ms) ==
              verdict::implausible);
        const auto next = f.on_wrong_target(start + 40ms);
        REQUIRE(next);
        CHECK(next->profile.target == "i-2");
    }
    SECTION("its machine was cut off")
    {
        announcement_filter f;
        REQUIRE(f.judge(announced("i", 10, 50), start) == verdict::adopt);
        CHECK(f.judge(announced("i-2", 11, 1), start + 1100ms) ==
              verdict::adopt);
    }
}
