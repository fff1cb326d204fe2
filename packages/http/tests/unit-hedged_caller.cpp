#include "raw_peer.hpp"
#include <agatebank/http/hedged_caller.hpp>
#include <agatebank/http/http_server.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

// An HTTP server that leaves the first calls unanswered.
struct silent_server
{
    event_loop loop;
    timer_queue timers{loop};
    http_client client{loop};
    hedged_caller caller{timers};
    http_server server{loop, {}};
    std::vector<http_responder> received;
    unsigned answers_from; ///< number of the first call that is answered
    http_call call;

    explicit silent_server(unsigned first_answered)
        : answers_from(first_answered)
    {
        server.route("POST", "/x",
                     [this](const http_request&, const http_responder& r)
                     {
                         received.push_back(r);
                         if (received.size() >= answers_from)
                         {
                             r(json_response(200, {{"n", received.size()}}));
                         }
                     });
        call.method = "POST";
        call.url =
            "http://127.0.0.1:" + std::to_string(*server.listen()) + "/x";
        call.body = "{}";
        call.may_resend = true;
        call.timeout = 300ms;
    }

    hedged_caller::sender sender()
    {
        return [this](http_completion done)
        {
            return client.send(call, std::move(done));
        };
    }

    // Number of completions, and the last one's status; 0 for a failure.
    std::pair<int, unsigned> run()
    {
        int completions = 0;
        unsigned status = 0;
        caller.send(sender(), {30ms, 3},
                    [&](const auto& r)
                    {
                        ++completions;
                        status = r ? r->status : 0;
                    });
        const auto stop = loop.after(700ms, [this] { loop.quit(); });
        loop.run();
        return {completions, status};
    }
};

} // namespace

TEST_CASE("hedged_caller: further copies are sent only while there is no "
          "answer")
{
    struct row
    {
        unsigned answers_from;
        std::size_t received;
        unsigned status;
    };
    const row rows[] = {{1, 1, 200}, {2, 2, 200}, {3, 3, 200}, {9, 3, 0}};
    for (const auto& it : rows)
    {
        INFO("answers from call " << it.answers_from);
        silent_server s(it.answers_from);
        const auto [completions, status] = s.run();
        CHECK(completions == 1);
        CHECK(status == it.status);
        CHECK(s.received.size() == it.received);
    }
}

// Guards against a start that crashed its target being reported as not run:
// the target read the first copy, and nothing listened for the second.
TEST_CASE("hedged_caller: a call whose first copy was read may have been "
          "received, though a later copy was refused")
{
    silent_server s(9);
    std::optional<http_failure> failed;
    s.caller.send(s.sender(), {30ms, 3},
                  [&](const auto& r)
                  {
                      REQUIRE_FALSE(r);
                      failed = r.error();
                  });
    const auto poll = s.loop.every(1ms,
                                   [&s]
                                   {
                                       if (s.received.size() == 1)
                                       {
                                           s.server.stop_accepting();
                                       }
                                   });
    const auto stop = s.loop.after(200ms, [&s] { s.loop.quit(); });
    s.loop.run();
    REQUIRE(failed);
    CHECK(s.received.size() == 1);
    CHECK(failed->reason.code == errc::peer_unreachable);
    CHECK(failed->may_have_been_received);
}

// Guards against a start call that is held for settled while its first copy may
// still be carried out.
TEST_CASE("hedged_caller: a call is settled when no copy is under way")
{
    struct row
    {
        unsigned answers_from;
        bool all_answered;
    };
    const row rows[] = {{1, true}, {2, false}, {9, false}};
    for (const auto& it : rows)
    {
        INFO("answers from call " << it.answers_from);
        silent_server s(it.answers_from);
        std::vector<hedge_outcome> settled;
        std::size_t settled_before_done = 0;
        s.caller.send(
            s.sender(), {30ms, 3},
            [&](const auto&) { settled_before_done = settled.size(); },
            [&](const hedge_outcome& h) { settled.push_back(h); });
        const auto stop = s.loop.after(700ms, [&s] { s.loop.quit(); });
        s.loop.run();
        REQUIRE(settled.size() == 1);
        CHECK(settled[0].all_answered == it.all_answered);
        CHECK(settled[0].copies == std::min(it.answers_from, 3U));
        CHECK(settled_before_done == (it.answers_from == 2 ? 0 : 1));
    }
}

// Guards against a start call that is held for settled, as it was refused,
// although it had been read before from a kept connection that broke.
TEST_CASE("hedged_caller: a copy whose connection broke has no answer")
{
    event_loop loop;
    timer_queue timers(loop);
    http_client client(loop);
    hedged_caller caller(timers);
    int requests = 0;
    raw_listener peer(
        [&](raw_connection& c)
        {
            if (c.ended())
            {
                return;
            }
            if (++requests == 2)
            {
                c.close();
                return;
            }
            c.send("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n");
        });
    http_call call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(peer.port()) + "/";
    call.may_resend = true;
    std::vector<hedge_outcome> settled;
    for (int i = 0; i < 2; ++i)
    {
        caller.send([&](http_completion done)
                    { return client.send(call, std::move(done)); },
                    {30ms, 3},
                    [](const auto& r)
                    {
                        REQUIRE(r);
                        CHECK(r->status == 503);
                    },
                    [&](const hedge_outcome& h) { settled.push_back(h); });
        const auto stop = loop.after(200ms, [&loop] { loop.quit(); });
        loop.run();
    }
    REQUIRE(settled.size() == 2);
    CHECK(requests == 3);
    CHECK(settled[0].all_answered);
    CHECK(settled[1].copies == 2);
    CHECK_FALSE(settled[1].all_answered);
}
