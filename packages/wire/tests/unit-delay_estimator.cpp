#include <agatebank/wire/delay_estimator.hpp>

#include <catch2/catch.hpp>

#include <limits>
#include <optional>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

int64_t sender_clock(time_point t, duration offset)
{
    return (t + offset).time_since_epoch().count();
}

} // namespace

// Guards against delays that depend on the clocks of two processes, and against
// a link whose delay grows slowly and is never noticed.
TEST_CASE("delay_estimator: a delay is measured against the fastest message of "
          "the last one to two minutes")
{
    struct message_row
    {
        duration sent; ///< since the start
        duration under_way;
        duration expected;
    };
    struct row
    {
        const char* name;
        std::vector<message_row> messages;
    };
    const row rows[] = {
        {"first message", {{0s, 300ms, 0ms}}},
        {"a steady link", {{0s, 3ms, 0ms}, {1s, 3ms, 0ms}, {2s, 4ms, 1ms}}},
        {"a growing queue",
         {{0s, 3ms, 0ms},
          {200ms, 303ms, 300ms},
          {400ms, 603ms, 600ms},
          {600ms, 1403ms, 1400ms},
          {800ms, 1403ms, 1400ms}}},
        {"a queue that drains",
         {{0s, 900ms, 0ms}, {1s, 5ms, 0ms}, {2s, 5ms, 0ms}}},
        {"a path that became longer",
         {{0s, 3ms, 0ms},
          {59s, 53ms, 50ms},
          {61s, 53ms, 50ms},
          {122s, 53ms, 0ms}}}};
    for (const auto& it : rows)
    {
        for (const auto offset : {duration(-30min), duration(0), duration(9h)})
        {
            INFO(it.name << ", clocks differ by " << offset.count() << " us");
            delay_estimator estimator;
            CHECK(estimator.last() == 0ms);
            for (const auto& m : it.messages)
            {
                const auto sent = start + m.sent;
                CHECK(estimator.observe(sender_clock(sent, offset),
                                        sent + m.under_way) == m.expected);
                CHECK(estimator.last() == m.expected);
            }
        }
    }
}

// Guards against an overflow that a clock reading out of range would cause.
TEST_CASE("delay_estimator: any clock reading gives a delay that is not "
          "negative")
{
    using limits = std::numeric_limits<int64_t>;
    delay_estimator estimator;
    for (const auto sent : {limits::max(), limits::min(), int64_t{0},
                            int64_t{-1}, limits::max(), limits::min()})
    {
        CHECK(estimator.observe(sent, start) >= 0ms);
    }
}

// Guards against a link whose delays count as none since it was opened while
// its path was slow, and against one whose delays count as long for minutes
// since its peer was busy at that time.
TEST_CASE("delay_estimator: a delay counts from the greatest lower bound of "
          "the difference of the clocks")
{
    struct step
    {
        std::optional<duration> before; ///< of a bound, since the start
        duration reading;               ///< of the sender, for the bound
        duration sent;                  ///< of a message, since the start
        duration under_way;
        duration expected;
    };
    struct row
    {
        const char* name;
        std::vector<step> steps;
    };
    const row rows[] = {
        {"slow from the first message",
         {{0ms, 1ms, 1ms, 700ms, 701ms}, {{}, {}, 800ms, 1500ms, 1501ms}}},
        {"a busy peer, then a round trip",
         {{0ms, 700ms, 700ms, 1ms, 701ms}, {701ms, 702ms, 702ms, 1ms, 2ms}}},
        {"a worse bound changes nothing",
         {{0ms, 1ms, 1ms, 1ms, 2ms}, {500ms, 900ms, 900ms, 1ms, 2ms}}},
        {"a bound that is forgotten",
         {{0ms, 50ms, 50ms, 1ms, 51ms},
          {{}, {}, 61s, 1ms, 51ms},
          {{}, {}, 122s, 1ms, 0ms}}},
        {"a bound that can't be right: it is above the fastest message",
         {{500ms, 100ms, 600ms, 1ms, 0ms}, {{}, {}, 700ms, 301ms, 300ms}}}};
    for (const auto& it : rows)
    {
        for (const auto offset : {duration(-30min), duration(0), duration(9h)})
        {
            INFO(it.name << ", clocks differ by " << offset.count() << " us");
            delay_estimator estimator;
            for (const auto& s : it.steps)
            {
                const auto handled = start + s.sent + s.under_way;
                if (s.before)
                {
                    estimator.bound(start + *s.before,
                                    sender_clock(start + s.reading, offset),
                                    handled);
                }
                CHECK(estimator.observe(sender_clock(start + s.sent, offset),
                                        handled) == s.expected);
            }
        }
    }
}
