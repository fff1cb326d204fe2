#include <agatebank/node/target_lease.hpp>

#include <catch2/catch.hpp>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

} // namespace

TEST_CASE("target_lease: the lease is not extended before an answer has given "
          "the target's clock")
{
    target_lease lease({});
    CHECK_FALSE(lease.may_extend(start));
    lease.on_answer(target_time(5000), start + 2ms);
    CHECK(lease.may_extend(start + 2ms));
    REQUIRE(lease.clock(start + 102ms));
    CHECK(lease.clock(start + 102ms)->value() == 5100);
}

TEST_CASE("target_lease: without answers, extensions stop and the lease then "
          "expires, allowing for a slow target clock")
{
    target_lease lease({});
    lease.on_answer(target_time(5000), start);
    struct row
    {
        duration after; ///< time since the last answer
        bool may_extend;
    };
    const row rows[] = {{100ms, true}, {600ms, true}, {700ms, false}};
    for (const auto& it : rows)
    {
        CHECK(lease.may_extend(start + it.after) == it.may_extend);
    }
    lease.on_extension_sent(1s, start + 600ms);
    // A lease of 1 s lasts 1,020 ms on a target clock that is 2 % slow.
    CHECK_FALSE(lease.has_expired(start + 600ms + 1020ms));
    CHECK(lease.has_expired(start + 600ms + 1110ms));
}

// Guards against tasks that are started elsewhere while a target that can't be
// reached may still run them.
TEST_CASE("target_lease: the time left covers all that was sent, whatever "
          "became of the target's clock")
{
    struct row
    {
        const char* name;
        duration extension; ///< 0: none sent
        duration validity;  ///< of a start that is sent 100 ms later; 0: none
        duration least;     ///< of the time left 200 ms later, by the rules
        duration most;
    };
    // A lease of 1 s lasts 1,020 ms on a clock that is 2 % slow, and the
    // target may take 50 ms to kill its runs.
    const row rows[] = {{"nothing sent", 0ms, 0ms, 0ms, 0ms},
                        {"extension", 1s, 0ms, 870ms, 910ms},
                        {"extension and start", 1s, 500ms, 870ms, 910ms},
                        {"start", 0ms, 500ms, 460ms, 510ms}};
    for (const auto& it : rows)
    {
        INFO(it.name);
        target_lease lease({});
        lease.on_answer(target_time(5000), start);
        if (it.extension.count() != 0)
        {
            lease.on_extension_sent(it.extension, start);
        }
        if (it.validity.count() != 0)
        {
            lease.on_start_sent(it.validity, start + 100ms);
        }
        lease.reset();
        const auto now = start + 200ms;
        const auto left = lease.time_left(now);
        CHECK(left >= it.least);
        CHECK(left <= it.most);
        CHECK_FALSE((left.count() > 0 && lease.has_expired(now)));
        CHECK(lease.has_expired(now + left + 1us));
        CHECK(lease.time_left(now + left + 1s) == 0ms);
    }
}

TEST_CASE("target_lease: a reset discards the old incarnation's clock and last "
          "answer")
{
    target_lease lease({});
    lease.on_answer(target_time(5000), start);
    lease.reset();
    CHECK_FALSE(lease.is_connected(start));
    CHECK_FALSE(lease.clock(start));
}

// Guards against runs that go on when the agent is paused after their entry has
// fallen silent: callers submit a job again after 1,300 ms.
TEST_CASE("target_lease: runs end before the callers of a silent entry submit "
          "their jobs again")
{
    const target_lease lease({});
    CHECK(lease.extension({}, start) == 1000ms);
    struct row
    {
        duration silent;
    };
    for (const auto& it :
         {row{0ms}, row{100ms}, row{300ms}, row{800ms}, row{1100ms}, row{2s}})
    {
        INFO(it.silent.count());
        const auto extension = lease.extension(start, start + it.silent);
        CHECK(extension <= 1000ms);
        // The target's clock is 2 % slow, and it takes up to 50 ms to kill.
        const auto end = it.silent + extension * 102 / 100 + 50ms;
        CHECK((extension.count() <= 0 || end < 1300ms));
        // An entry that sends heartbeats doesn't shorten the lease by much.
        CHECK((it.silent > 300ms || extension >= 850ms));
    }
}

// Guards against tasks that are placed elsewhere while they still run: the
// target extends its lease with a start, too.
TEST_CASE("target_lease: a start that was sent last delays the expiry")
{
    target_lease lease({});
    lease.on_answer(target_time(5000), start);
    lease.on_extension_sent(1s, start);
    lease.on_start_sent(500ms, start + 640ms);
    // Valid until 1,140 ms; a slow clock and the time to kill come on top.
    CHECK_FALSE(lease.has_expired(start + 1200ms));
    CHECK(lease.has_expired(start + 1300ms));
    // One whose validity ends before the lease changes nothing.
    lease.on_extension_sent(1s, start + 2s);
    lease.on_start_sent(500ms, start + 2100ms);
    CHECK_FALSE(lease.has_expired(start + 3s));
    CHECK(lease.has_expired(start + 3110ms));
}

// Guards against runs that outlive the wait of their callers under a lease that
// was granted before their order arrived late.
TEST_CASE("target_lease: an entry's run starts only if the lease ends in time "
          "for its callers")
{
    struct row
    {
        duration extension; ///< sent at the start
        duration heard;     ///< sending of the entry's newest message
        bool allowed;
    };
    const row rows[] = {{1000ms, 0ms, true},     {1000ms, -190ms, true},
                        {1000ms, -200ms, false}, {1000ms, -800ms, false},
                        {400ms, -790ms, true},   {400ms, -800ms, false},
                        {0ms, -800ms, true}};
    for (const auto& it : rows)
    {
        INFO(it.extension.count() << ", " << it.heard.count());
        target_lease lease({});
        lease.on_extension_sent(it.extension, start);
        CHECK(lease.allows_start(start + it.heard) == it.allowed);
        // A shorter extension doesn't shorten the lease that was granted.
        lease.on_extension_sent(0ms, start);
        CHECK(lease.allows_start(start + it.heard) == it.allowed);
        lease.on_start_sent(500ms, start + 600ms);
        CHECK_FALSE(lease.allows_start(start - 100ms));
    }
}

// Guards against a setting that lets a target run on for longer than callers
// wait, and makes each order wait whose target was idle: the lease granted
// meanwhile would end too late for it.
TEST_CASE("target_lease: a longer lease in the settings is limited by the wait "
          "of callers")
{
    struct row
    {
        duration setting;
        duration longest_extension;
    };
    for (const auto& it : {row{400ms, 400ms}, row{1000ms, 1000ms},
                           row{1500ms, 1192ms}, row{60s, 1192ms}})
    {
        INFO(it.setting.count());
        target_lease lease({it.setting, 0.02});
        lease.on_answer(target_time(5000), start);
        const auto extension = lease.extension({}, start);
        CHECK(extension >= std::min<duration>(it.setting, 1s));
        CHECK(extension <= it.longest_extension);
        CHECK(lease.extension(start, start) == extension);
        lease.on_extension_sent(extension, start);
        // An order that was under way for 100 ms starts at once.
        CHECK(lease.allows_start(start - 100ms));
        CHECK_FALSE(lease.has_expired(start + extension));
        CHECK(lease.has_expired(start + 1300ms));
    }
}
