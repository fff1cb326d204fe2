#include "raw_peer.hpp"
#include <agatebank/http/http_client.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace agatebank;

namespace
{

using outcome = tl::expected<http_response, http_failure>;

constexpr const char* request_body = "0123456789";
constexpr const char* complete_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const auto settle_time = std::chrono::milliseconds(100);

// Point in an exchange at which a peer closes the connection.
enum class close_point
{
    never,
    accepted,
    head_read,
    request_read
};

struct peer_script
{
    const char* name;
    close_point point;
    const char* answer; ///< sent before closing
    bool abort = false; ///< close with a reset
};

bool head_complete(const std::string& bytes)
{
    return bytes.find("\r\n\r\n") != std::string::npos;
}

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++n;
    }
    return n;
}

// An HTTP client, and a peer that closes the connection according to its
// script.
struct client_fixture
{
    event_loop loop;
    peer_script script;
    http_client client{loop};
    bool scripted = true;
    bool closes = true;
    raw_listener peer{[this](raw_connection& c)
                      {
                          on_change(c);
                      }};

    explicit client_fixture(const peer_script& s) : script(s)
    {
        peer.on_accept = [this](raw_connection& c)
        {
            if (script.point == close_point::accepted)
            {
                c.close(script.abort);
            }
        };
    }

    void on_change(raw_connection& c)
    {
        if (c.ended())
        {
            return;
        }
        const bool complete = c.received().size() >= 10 &&
                              c.received().compare(c.received().size() - 10, 10,
                                                   request_body) == 0;
        if (complete && !scripted)
        {
            c.send(complete_answer);
            return;
        }
        const bool reached =
            (script.point == close_point::head_read &&
             head_complete(c.received())) ||
            (script.point == close_point::request_read && complete);
        if (reached)
        {
            c.send(script.answer);
            if (closes)
            {
                c.close(script.abort);
            }
        }
    }

    std::optional<outcome>
    call(bool may_resend, duration timeout,
         std::optional<http_connection_id> connection = std::nullopt)
    {
        http_call rq;
        rq.method = "POST";
        rq.url = "http://127.0.0.1:" + std::to_string(peer.port()) + "/task";
        rq.body = request_body;
        rq.may_resend = may_resend;
        rq.timeout = timeout;
        rq.connection = connection;
        std::optional<outcome> got;
        watch settled;
        const auto handle = client.send(
            rq,
            [&](const outcome& o)
            {
                CHECK_FALSE(got);
                got = o;
                // Leaves time for requests that the library might send again.
                settled = loop.after(settle_time, [this] { loop.quit(); });
            });
        const auto limit =
            loop.after(std::chrono::seconds(20), [this] { loop.quit(); });
        loop.run();
        return got;
    }

    std::size_t requests_received() const
    {
        std::size_t n = 0;
        for (const auto& c : peer.connections())
        {
            n += count_of(c.received(), "POST /task");
        }
        return n;
    }
};

const peer_script closing_peers[] = {
    {"closes when it accepts", close_point::accepted, ""},
    {"resets when it accepts", close_point::accepted, "", true},
    {"closes after the head", close_point::head_read, ""},
    {"resets after the head", close_point::head_read, "", true},
    {"closes after the body", close_point::request_read, ""},
    {"resets after the body", close_point::request_read, "", true},
    {"closes in the status line", close_point::request_read, "HTTP/1.1 20"},
    {"closes in the answer's head", close_point::request_read,
     "HTTP/1.1 200 OK\r\nContent-Le"},
    {"closes before the answer's body", close_point::request_read,
     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"},
    {"closes in the answer's body", close_point::request_read,
     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok"},
    {"resets in the answer's body", close_point::request_read,
     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok", true},
    {"closes in a chunk", close_point::request_read,
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nok"},
    {"closes before the last chunk", close_point::request_read,
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
    {"sends an answer without length or chunks", close_point::request_read,
     "HTTP/1.1 200 OK\r\n\r\nok"}};

} // namespace

TEST_CASE("http_client: a request is sent at most once when the peer closes "
          "the connection")
{
    for (const auto& script : closing_peers)
    {
        SECTION(script.name)
        {
            client_fixture f(script);
            const auto got = f.call(false, std::chrono::seconds(5));
            REQUIRE(got);
            REQUIRE_FALSE(*got);
            const bool received = f.requests_received() > 0;
            CHECK((got->error().may_have_been_received || !received));
            CHECK(f.peer.connections().size() == 1);
            CHECK(f.requests_received() <= 1);
            CHECK((received || script.point == close_point::accepted));
        }
    }
}

// The first exchange is answered. With may_resend its connection is reused, and
// the peer closes it in the second exchange.
TEST_CASE("http_client: a request is sent at most once when the peer closes in "
          "a later exchange")
{
    for (const bool may_resend : {false, true})
    {
        for (const auto& script : closing_peers)
        {
            SECTION(std::string(script.name) +
                    (may_resend ? " on a reused connection" : ""))
            {
                client_fixture f({"", close_point::never, ""});
                f.scripted = false;
                const auto first = f.call(may_resend, std::chrono::seconds(5));
                REQUIRE(first);
                REQUIRE(*first);
                CHECK((*first)->body == "ok");
                f.scripted = true;
                f.script = script;
                const auto second = f.call(may_resend, std::chrono::seconds(5));
                REQUIRE(second);
                CHECK_FALSE(*second);
                CHECK(f.peer.connections().size() == (may_resend ? 1 : 2));
                CHECK(f.requests_received() <= 2);
            }
        }
    }
}

TEST_CASE("http_client: connections are reused only with may_resend")
{
    for (const bool may_resend : {false, true})
    {
        client_fixture f({"", close_point::never, ""});
        f.scripted = false;
        for (int i = 0; i < 5; ++i)
        {
            const auto got = f.call(may_resend, std::chrono::seconds(5));
            REQUIRE(got);
            REQUIRE(*got);
        }
        CHECK(f.peer.connections().size() == (may_resend ? 1 : 5));
        CHECK(f.requests_received() == 5);
    }
}

// Guards against calls that were meant for the process at the other end of a
// connection and are sent again to its successor.
TEST_CASE("http_client: a call for one connection is not sent on another")
{
    struct row
    {
        const char* name;
        bool closes;
        bool abort;
    };
    const row rows[] = {{"open", false, false},
                        {"closed by the peer", true, false},
                        {"reset by the peer", true, true}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            client_fixture f({"", close_point::never, ""});
            f.scripted = false;
            const auto first = f.call(true, std::chrono::seconds(5));
            REQUIRE(first);
            REQUIRE(*first);
            if (row.closes)
            {
                f.peer.connections().front().close(row.abort);
            }
            const auto second =
                f.call(true, std::chrono::seconds(5), (*first)->connection);
            REQUIRE(second);
            CHECK(second->has_value() != row.closes);
            if (row.closes)
            {
                CHECK_FALSE(second->error().may_have_been_received);
                CHECK(second->error().connection_ended);
            }
            for (const auto& c : f.peer.connections())
            {
                CHECK((&c == &f.peer.connections().front() ||
                       c.received().empty()));
            }
            CHECK(f.requests_received() == (row.closes ? 1 : 2));
        }
    }
}

TEST_CASE("http_client: a chunked answer counts as complete only while the "
          "connection is open")
{
    struct row
    {
        const char* name;
        bool may_resend;
        bool closes;
        bool complete;
    };
    const row rows[] = {
        {"open", false, false, true},
        {"closed after the last chunk", false, true, false},
        {"on a connection that may be reused", true, false, false}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            client_fixture f({"", close_point::request_read,
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                              "\r\n\r\n2\r\nok\r\n0\r\n\r\n"});
            f.closes = row.closes;
            const auto got = f.call(row.may_resend, std::chrono::seconds(5));
            REQUIRE(got);
            CHECK(got->has_value() == row.complete);
        }
    }
}

TEST_CASE("http_client: a call to a peer that never answers times out")
{
    client_fixture f({"", close_point::never, ""});
    const auto got = f.call(false, std::chrono::milliseconds(200));
    REQUIRE(got);
    REQUIRE_FALSE(*got);
    CHECK(got->error().reason.code == errc::target_timeout);
    CHECK(got->error().may_have_been_received);
    CHECK(f.requests_received() == 1);
}

TEST_CASE("http_client: a request whose connection was refused is reported as "
          "not received")
{
    event_loop loop;
    http_client client(loop);
    http_call rq;
    {
        // A port that is free again when the listener is destroyed.
        const raw_listener closed([](raw_connection&) {});
        rq.url = "http://127.0.0.1:" + std::to_string(closed.port()) + "/";
    }
    std::optional<outcome> got;
    const auto handle = client.send(rq,
                                    [&](const outcome& o)
                                    {
                                        got = o;
                                        loop.quit();
                                    });
    loop.run();
    REQUIRE_FALSE(*got);
    CHECK(got->error().reason.code == errc::peer_unreachable);
    CHECK_FALSE(got->error().may_have_been_received);
}

// Guards against a start that crashed its target being reported as not run:
// the connection broke after the request was read, and the library then found
// no listener for its second try.
TEST_CASE("http_client: a request that was read on a kept connection may have "
          "been received, though the peer refused the next connection")
{
    event_loop loop;
    http_client client(loop);
    std::unique_ptr<raw_listener> peer;
    int requests = 0;
    peer = std::make_unique<raw_listener>(
        [&](raw_connection& c)
        {
            if (c.ended())
            {
                return;
            }
            if (++requests == 1)
            {
                c.send(complete_answer);
                return;
            }
            c.close(true);
            loop.defer([&peer] { peer.reset(); });
        });
    http_call rq;
    rq.url = "http://127.0.0.1:" + std::to_string(peer->port()) + "/";
    rq.may_resend = true;
    std::optional<outcome> got;
    for (int i = 0; i < 2; ++i)
    {
        const auto handle = client.send(rq,
                                        [&](const outcome& o)
                                        {
                                            got = o;
                                            loop.quit();
                                        });
        loop.run();
    }
    REQUIRE_FALSE(*got);
    CHECK(requests == 2);
    CHECK(got->error().may_have_been_received);
}

// Guards against a start that is reported as not run, because its answer was a
// refusal, although it had been read before from a connection that broke.
// libsoup sends a request again only if its method is idempotent by HTTP, also
// with SOUP_MESSAGE_IDEMPOTENT; a start is a POST.
TEST_CASE("http_client: only a request whose method is idempotent is sent "
          "again after its connection broke")
{
    struct row
    {
        const char* name;
        const char* method;
        bool reads; ///< the second request is read before the connection breaks
        bool abort;
        int requests; ///< that the peer reads
        bool answered;
    };
    const row rows[] = {
        {"POST, closed when read", "POST", true, false, 2, false},
        {"POST, reset when read", "POST", true, true, 2, false},
        {"POST, closed while idle", "POST", false, false, 2, true},
        {"POST, reset while idle", "POST", false, true, 2, true},
        {"PUT, closed when read", "PUT", true, false, 3, true},
        {"PUT, reset when read", "PUT", true, true, 3, true}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            event_loop loop;
            http_client client(loop);
            int requests = 0;
            raw_listener peer(
                [&](raw_connection& c)
                {
                    if (c.ended())
                    {
                        return;
                    }
                    ++requests;
                    if (requests == 2 && row.reads)
                    {
                        c.close(row.abort);
                        return;
                    }
                    c.send(complete_answer);
                    if (!row.reads)
                    {
                        c.close(row.abort);
                    }
                });
            http_call rq;
            rq.method = row.method;
            rq.url = "http://127.0.0.1:" + std::to_string(peer.port()) + "/";
            rq.may_resend = true;
            std::vector<outcome> got;
            for (int i = 0; i < 2; ++i)
            {
                watch settled;
                const auto handle = client.send(
                    rq,
                    [&](const outcome& o)
                    {
                        got.push_back(o);
                        settled = loop.after(settle_time, [&] { loop.quit(); });
                    });
                loop.run();
            }
            REQUIRE(got.size() == 2);
            REQUIRE(got[0]);
            CHECK(requests == row.requests);
            REQUIRE(got[1].has_value() == row.answered);
            if (!row.answered)
            {
                CHECK(got[1].error().may_have_been_received);
            }
        }
    }
}
