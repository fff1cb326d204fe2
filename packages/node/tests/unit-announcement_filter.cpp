#include <agatebank/node/announcement_filter.hpp>

#include <catch2/catch.hpp>

#include <cstdint>
#include <vector>

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

// Guards against an announcement that is acknowledged and not followed since
// its number is far higher than the last one: numbers may come from a clock.
// Also against one with a high number because of which all that follow look
// delayed for ever.
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
                        {100ms, 6001, verdict::update},
                        {100ms, 1'796'659'200'000, verdict::update},
                        {100ms, INT64_MAX, verdict::update},
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

// Guards against a number of another writer that replaces the target's own
// again and again: a target's numbers increase.
TEST_CASE("announcement_filter: a number that was given up is not taken again")
{
    announcement_filter f;
    REQUIRE(f.judge(announced("i", 10, 900'000), start) == verdict::adopt);
    REQUIRE(f.judge(announced("i", 10, 7), start + 3s) == verdict::update);
    CHECK(f.judge(announced("i", 10, 900'000), start + 3100ms) ==
          verdict::delayed);
    CHECK(f.judge(announced("i", 10, 8), start + 4500ms) == verdict::update);
}

// Guards against starts on a target that drains: its announcement is
// acknowledged and not followed, or an announcement of another writer or a
// delayed one takes it back.
TEST_CASE("announcement_filter: a target that drains does so for the rest of "
          "its incarnation")
{
    struct step
    {
        duration at;
        uint64_t sequence;
        bool draining;
        bool expected;
    };
    struct row
    {
        const char* name;
        std::vector<step> steps;
    };
    const row rows[] = {
        {"a number far ahead", {{1s, 900'000, true, true}}},
        {"a lower number, behind a foreign one",
         {{1s, 900'000, false, false}, {1500ms, 2, true, true}}},
        {"the number of a foreign one",
         {{1s, 2, false, false}, {1500ms, 2, true, true}}},
        {"a foreign one follows",
         {{1s, 2, true, true},
          {2s, 3, false, true},
          {2500ms, 3, true, true},
          {4s, 4, true, true},
          {5s, 6, false, true},
          {5500ms, 5, true, true}}},
        {"a delayed one follows",
         {{1500ms, 3, true, true}, {1600ms, 2, false, true}}},
        {"a delayed one follows after the time for lower numbers",
         {{1500ms, 3, true, true}, {5s, 2, false, true}}},
        {"a foreign one that drains, amid those of a ready target",
         {{1s, 900, true, true},
          {1500ms, 2, false, true},
          {4s, 3, false, true},
          {5500ms, 4, false, true},
          {7s, 5, false, false}}}};
    for (const auto& it : rows)
    {
        announcement_filter f;
        REQUIRE(f.judge(announced("i", 10, 1), start) == verdict::adopt);
        for (const auto& s : it.steps)
        {
            INFO(it.name << ", " << s.at.count() << " us");
            auto a = announced("i", 10, s.sequence);
            a.draining = s.draining;
            f.judge(a, start + s.at);
            CHECK(f.draining() == s.expected);
        }
    }
}

// Guards against starts on a target that is about to end, as an announcement
// that it sent before arrives late; and against a new incarnation that gets no
// work because the one before it drained.
TEST_CASE("announcement_filter: a deregistration holds until another "
          "incarnation is followed")
{
    announcement_filter f;
    REQUIRE(f.judge(announced("i", 10, 1), start) == verdict::adopt);
    f.on_deregistration();
    CHECK(f.judge(announced("i", 10, 2), start + 10ms) == verdict::update);
    CHECK(f.draining());
    CHECK(f.judge(announced("i", 11, 1), start + 2s) == verdict::adopt);
    CHECK_FALSE(f.draining());
}

// Guards against starts on a target whose drain was acknowledged, as its agent
// has followed an announcement of another writer in between.
TEST_CASE("announcement_filter: a target that drained still drains when it is "
          "followed again")
{
    announcement_filter f;
    REQUIRE(f.judge(announced("i", 10, 1), start) == verdict::adopt);
    auto drains = announced("i", 10, 2);
    drains.draining = true;
    f.judge(drains, start + 1s);
    f.on_unreachable();
    REQUIRE(f.judge(announced("i", 11, 1), start + 2s) == verdict::adopt);
    CHECK_FALSE(f.draining());
    f.on_answer(target_incarnation(10), start + 2100ms);
    REQUIRE(f.judge(announced("i", 10, 1), start + 2200ms) == verdict::adopt);
    CHECK(f.draining());
}
