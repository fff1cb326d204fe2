#include <agatebank/wire/delay_estimator.hpp>

#include <catch2/catch.hpp>

#include <limits>
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
