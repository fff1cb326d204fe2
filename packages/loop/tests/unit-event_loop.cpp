#include <agatebank/loop/event_loop.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <string>
#include <thread>

#include <unistd.h>

using namespace agatebank;
using std::chrono::milliseconds;

// Guards against messages that overtake each other, and against a callback that
// defers itself again and keeps the loop from reading sockets.
TEST_CASE("event_loop: deferred calls keep their order and end the iteration "
          "after two rounds")
{
    event_loop loop;
    std::string order;
    int repeats = 0;
    std::function<void()> again = [&]
    {
        ++repeats;
        loop.defer(again);
    };
    loop.defer(
        [&]
        {
            order += 'a';
            loop.defer([&] { order += 'c'; });
        });
    loop.defer([&] { order += 'b'; });
    loop.defer(again);
    CHECK(order.empty());
    g_main_context_iteration(nullptr, FALSE);
    CHECK(order == "abc");
    CHECK(repeats == 2);
}

// Guards against a change of the order in which timers run after the process
// was paused: links are closed before the jobs of their owner are examined.
TEST_CASE("timer_schedule: expired timers run in the order in which they were "
          "added")
{
    struct row
    {
        int first_ms;
        int second_ms;
        int now_ms;
        const char* order;
    };
    const row rows[] = {{1, 2, 0, ""},   {1, 2, 1, "a"},  {2, 1, 1, "b"},
                        {1, 2, 2, "ab"}, {2, 1, 2, "ab"}, {2, 1, 900, "ab"}};
    for (const auto& it : rows)
    {
        timer_schedule timers;
        std::string order;
        const time_point start{std::chrono::hours(1)};
        timers.add(start + milliseconds(it.first_ms), {},
                   [&] { order += 'a'; });
        timers.add(start + milliseconds(it.second_ms), {},
                   [&] { order += 'b'; });
        timers.run_due(start + milliseconds(it.now_ms));
        CHECK(order == it.order);
        CHECK(timers.size() == 2 - order.size());
    }
}

// Guards against periodic timers that run many times after a pause, and against
// use of a timer that its own callback has cancelled.
TEST_CASE("timer_schedule: a periodic timer runs once after a pause, and may "
          "be cancelled by a callback")
{
    timer_schedule timers;
    const time_point start{std::chrono::hours(1)};
    int calls = 0;
    scheduled_id own;
    scheduled_id other;
    own = timers.add(start, milliseconds(10),
                     [&]
                     {
                         if (++calls == 2)
                         {
                             timers.cancel(own);
                             timers.cancel(other);
                         }
                     });
    other = timers.add(start + milliseconds(100), milliseconds(10),
                       [] { FAIL("cancelled"); });
    timers.run_due(start);
    CHECK(timers.next() == start + milliseconds(10));
    timers.run_due(start + milliseconds(100));
    CHECK(calls == 2);
    CHECK(timers.size() == 0);
}

// Guards against a callback that destroys its own watch, and against a watch
// that outlives its loop.
TEST_CASE("event_loop: a watch ends its timer")
{
    watch outliving;
    std::optional<event_loop> loop(std::in_place);
    int calls = 0;
    watch own = loop->every(milliseconds(1),
                            [&]
                            {
                                ++calls;
                                own.reset();
                            });
    const auto limit = loop->after(milliseconds(20), [&] { loop->quit(); });
    outliving = loop->after(std::chrono::hours(1), [] {});
    loop->run();
    CHECK(calls == 1);
    CHECK_FALSE(own);
    loop.reset();
    CHECK(outliving);
    outliving.reset();
    CHECK_FALSE(outliving);
}

// Guards against calls that are timed out although their answer has arrived,
// as the process was throttled, and against links that are read after a pause
// before a timer has found out about the pause.
TEST_CASE("event_loop: periodic timers, sockets, other timers and deferred "
          "calls have their turn in this order")
{
    event_loop loop;
    std::string order;
    std::array<int, 2> fds{};
    REQUIRE(::pipe(fds.data()) == 0);
    const auto once = loop.after(milliseconds(1),
                                 [&]
                                 {
                                     order += 'o';
                                     loop.defer([&] { order += 'd'; });
                                     loop.quit();
                                 });
    REQUIRE(loop.sockets().add(fds[0], {[&]
                                        {
                                            order += 's';
                                            char byte = 0;
                                            CHECK(::read(fds[0], &byte, 1) ==
                                                  1);
                                        },
                                        {}}));
    const auto periodic = loop.every(milliseconds(1), [&] { order += 'p'; });
    REQUIRE(::write(fds[1], "x", 1) == 1);
    std::this_thread::sleep_for(milliseconds(3));
    loop.run();
    CHECK(order == "psod");
    ::close(fds[0]);
    ::close(fds[1]);
}
