#include "raw_peer.hpp"
#include <agatebank/http/http_server.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <silent_clients.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t body_limit = 1000;
const auto run_limit = std::chrono::seconds(10);

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// An HTTP server that reports the size of a body, and stores the responders of
// /held without answering.
struct server_fixture
{
    event_loop loop;
    std::vector<http_responder> held;
    std::size_t handled = 0;
    std::unique_ptr<http_server> server;
    uint16_t port = 0;

    explicit server_fixture(duration read_timeout = std::chrono::seconds(5))
    {
        http_server_options options;
        options.max_body_bytes = body_limit;
        options.read_timeout = read_timeout;
        server = std::make_unique<http_server>(loop, options);
        server->route(
            "POST", "/echo",
            [this](const http_request& rq, const auto& respond)
            {
                ++handled;
                respond(json_response(200, {{"size", rq.body.size()}}));
            });
        server->route("GET", "/jobs/{id}/tasks/{index}",
                      [](const http_request& rq, const auto& respond)
                      {
                          respond(json_response(200, {rq.captures.at("id"),
                                                      rq.captures.at("index"),
                                                      rq.parameter("wait")}));
                      });
        server->route("GET", "/held",
                      [this](const http_request&, const auto& respond)
                      {
                          held.push_back(respond);
                          loop.quit();
                      });
        const auto listening = server->listen();
        REQUIRE(listening);
        port = *listening;
    }

    void run(duration limit = run_limit)
    {
        const auto timer = loop.after(limit, [this] { loop.quit(); });
        loop.run();
    }

    // Sends bytes and returns what is received up to the end of the answer's
    // head or of the connection.
    std::string exchange(const std::string& bytes)
    {
        const auto c = raw_connect(port,
                                   [this](raw_connection& it)
                                   {
                                       if (it.ended() ||
                                           contains(it.received(), "\r\n\r\n"))
                                       {
                                           loop.quit();
                                       }
                                   });
        c->send(bytes);
        run();
        return c->received();
    }
};

std::string post(const std::string& path, std::size_t body_bytes)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'x');
}

std::string get(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

TEST_CASE(
    "http_server: a request gets the status and the captures of its route")
{
    struct row
    {
        const char* name;
        std::string request;
        const char* status;
        const char* part;
    };
    const row rows[] = {
        {"body at the limit", post("/echo", body_limit), "200", "1000"},
        {"body over the limit", post("/echo", body_limit + 1), "413",
         "request_too_large"},
        {"chunked body",
         "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nxx\r\n0\r\n\r\n",
         "411", "Content-Length"},
        {"unknown path", get("/other"), "404", "not_found"},
        {"longer path", get("/jobs/7/tasks/1/more"), "404", "not_found"},
        {"other method", get("/echo"), "405", "not_found"},
        {"captures", get("/jobs/7/tasks/a%20b?wait=5"), "200",
         "[\"7\",\"a b\",\"5\"]"}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            server_fixture f;
            const auto got = f.exchange(row.request);
            CHECK(contains(got, std::string("HTTP/1.1 ") + row.status));
            CHECK(contains(got, row.part));
            CHECK(f.server->in_flight() == 0);
        }
    }
}

TEST_CASE("http_server: a malformed request is not handled and does not affect "
          "later requests")
{
    struct row
    {
        const char* name;
        std::string request;
    };
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const row rows[] = {
        {"no request line", "\r\n\r\n\r\n"},
        {"one word", "GARBAGE\r\n\r\n"},
        {"unknown version", "POST /echo HTTP/9.9\r\nHost: a\r\n\r\n"},
        {"no host", "POST /echo HTTP/1.1\r\n\r\n"},
        {"negative length",
         "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"},
        {"length of letters",
         "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: abc\r\n\r\n"},
        {"bad chunk size", "POST /echo HTTP/1.1\r\nHost: a\r\n" + chunked +
                               "\r\nzz\r\nab\r\n0\r\n\r\n"},
        {"truncated between two chunks",
         "POST /echo HTTP/1.1\r\nHost: a\r\n" + chunked + "\r\n2\r\nab\r\n"},
        {"length and chunks",
         "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n" + chunked +
             "\r\n0\r\n\r\n"},
        {"zero bytes", std::string("POST /ec\0ho HTTP/1.1\r\n\r\n", 24)},
        {"endless header",
         "POST /echo HTTP/1.1\r\nX: " + std::string(300000, 'x')}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            server_fixture f(std::chrono::milliseconds(300));
            const auto got = f.exchange(row.request);
            CHECK_FALSE(contains(got, "HTTP/1.1 200"));
            CHECK(f.handled == 0);
            CHECK(contains(f.exchange(post("/echo", 3)), "HTTP/1.1 200"));
            CHECK(f.server->in_flight() == 0);
        }
    }
}

TEST_CASE("http_server: a client that is slower than the read time-out is "
          "disconnected")
{
    struct row
    {
        const char* name;
        const char* begin;
        bool trickles;
    };
    const row rows[] = {
        {"trickles its head", "POST /echo HTTP/1.1\r\nX: ", true},
        {"trickles its body",
         "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n", true},
        {"stops in its head", "POST /ec", false},
        {"stops in its body",
         "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n",
         false},
        {"sends nothing", "", false}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            server_fixture f(std::chrono::milliseconds(300));
            const auto c = raw_connect(f.port,
                                       [&](raw_connection& it)
                                       {
                                           if (it.ended())
                                           {
                                               f.loop.quit();
                                           }
                                       });
            c->send(row.begin);
            const auto trickle = f.loop.every(std::chrono::milliseconds(20),
                                              [&]
                                              {
                                                  if (row.trickles)
                                                  {
                                                      c->send("x");
                                                  }
                                              });
            f.run();
            CHECK(c->ended());
            CHECK(f.handled == 0);
            CHECK(f.server->in_flight() == 0);
        }
    }
}

TEST_CASE("http_server: a late response is sent once, and dropped without a "
          "client or server")
{
    enum class disruption
    {
        none,
        client_closes,
        client_resets,
        server_destroyed
    };
    struct row
    {
        const char* name;
        disruption kind;
    };
    const row rows[] = {
        {"to a client that waits", disruption::none},
        {"to a client that closed", disruption::client_closes},
        {"to a client that reset", disruption::client_resets},
        {"when the server is destroyed", disruption::server_destroyed}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            server_fixture f;
            const auto c = raw_connect(f.port,
                                       [&](raw_connection& it)
                                       {
                                           if (contains(it.received(), "late"))
                                           {
                                               f.loop.quit();
                                           }
                                       });
            c->send(get("/held"));
            f.run();
            REQUIRE(f.held.size() == 1);
            CHECK(f.server->in_flight() == 1);
            const bool disconnects = row.kind == disruption::client_closes ||
                                     row.kind == disruption::client_resets;
            if (disconnects)
            {
                c->close(row.kind == disruption::client_resets);
            }
            if (row.kind == disruption::server_destroyed)
            {
                f.server.reset();
            }
            f.run(std::chrono::milliseconds(50));
            f.held[0](json_response(200, {{"text", "late"}}));
            f.held[0](json_response(200, {{"text", "twice"}}));
            f.run(std::chrono::milliseconds(200));
            f.held.clear();
            CHECK(contains(c->received(), "late") ==
                  (row.kind == disruption::none));
            CHECK_FALSE(contains(c->received(), "twice"));
            if (f.server)
            {
                CHECK(f.server->in_flight() == 0);
                CHECK(contains(f.exchange(post("/echo", 3)), "HTTP/1.1 200"));
            }
        }
    }
}

TEST_CASE("http_server: a request in flight is answered after stop_accepting")
{
    server_fixture f;
    const auto c = raw_connect(f.port,
                               [&](raw_connection& it)
                               {
                                   if (contains(it.received(), "late"))
                                   {
                                       f.loop.quit();
                                   }
                               });
    c->send(get("/held"));
    f.run();
    REQUIRE(f.held.size() == 1);
    f.server->stop_accepting();
    f.run(std::chrono::milliseconds(50));
    CHECK_FALSE(raw_connect(f.port, nullptr));
    f.held[0](json_response(200, {{"text", "late"}}));
    f.run();
    CHECK(contains(c->received(), "late"));
}

// Guards against work for a client that left while its request waited to be
// read: the end of its connection is noticed only after the handler was called.
TEST_CASE(
    "http_server: a request tells whether its client had left when it was "
    "read")
{
    enum class client
    {
        waits,
        closes,
        resets
    };
    struct row
    {
        const char* name;
        client action;
        bool left;
    };
    const row rows[] = {{"the client waits", client::waits, false},
                        {"the client closed", client::closes, true},
                        {"the client reset", client::resets, true}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            server_fixture f;
            std::vector<bool> left;
            f.server->route("POST", "/job",
                            [&left](const http_request& rq, const auto& respond)
                            {
                                left.push_back(rq.client_left);
                                respond(json_response(200, {}));
                            });
            f.server->on_abandoned([](uint64_t) {});
            const auto c = raw_connect(f.port, nullptr);
            c->send(post("/job", 3));
            if (row.action != client::waits)
            {
                c->close(row.action == client::resets);
            }
            f.run(std::chrono::milliseconds(200));
            // A request may also be lost with the connection that was reset.
            CHECK((left == std::vector<bool>{row.left} ||
                   (row.action == client::resets && left.empty())));
            CHECK(f.server->in_flight() == 0);
        }
    }
}

// Guards against work for a client that left behind further bytes: unread data
// hid the end of its connection.
TEST_CASE("http_server: a client that sent more than its request is noticed "
          "when it leaves, and not before")
{
    struct row
    {
        const char* name;
        std::string more;
        bool aborts;
    };
    const row rows[] = {
        {"a byte, then closes", "P", false},
        {"a half request, then closes", post("/job", 30).substr(0, 60), false},
        {"a request, then closes", post("/job", 3), false},
        {"many requests' bytes, then closes", std::string(20'000, 'x'), false},
        {"a request, then resets", post("/job", 3), true}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            server_fixture f;
            std::vector<uint64_t> abandoned;
            f.server->on_abandoned([&abandoned](uint64_t id)
                                   { abandoned.push_back(id); });
            const auto c = raw_connect(f.port, nullptr);
            c->send(get("/held"));
            f.run();
            REQUIRE(f.held.size() == 1);
            c->send(row.more);
            f.run(std::chrono::milliseconds(50));
            CHECK(abandoned.empty());
            c->close(row.aborts);
            f.run(std::chrono::milliseconds(50));
            CHECK(abandoned == std::vector<uint64_t>{1});
            CHECK(f.held.size() == 1);
        }
    }
}

// Guards against work for a client that had left when its request was read: the
// bytes behind the request hid the end of its connection.
TEST_CASE("http_server: a request with further bytes behind it tells whether "
          "its client had left")
{
    for (const bool closes : {false, true})
    {
        INFO("closes: " << closes);
        server_fixture f;
        std::vector<bool> left;
        f.server->route("POST", "/job",
                        [&left](const http_request& rq, const auto& respond)
                        {
                            left.push_back(rq.client_left);
                            respond(json_response(200, {}));
                        });
        f.server->on_abandoned([](uint64_t) {});
        const auto c = raw_connect(f.port, nullptr);
        // More than the server reads at once.
        c->send(post("/job", 3) + "POST " + std::string(20'000, 'x'));
        if (closes)
        {
            c->close();
        }
        f.run(std::chrono::milliseconds(200));
        REQUIRE(!left.empty());
        CHECK(left.front() == closes);
    }
}

// Guards against a request whose path is so slow that the server can't learn in
// time that its client has left.
TEST_CASE("http_server: the first request of a connection tells how long after "
          "its acceptance it was read")
{
    server_fixture f;
    std::vector<duration> ages;
    f.server->route("POST", "/job",
                    [&](const http_request& rq, const auto& respond)
                    {
                        ages.push_back(rq.since_accepted);
                        respond(json_response(200, {}));
                    });
    const auto c = raw_connect(f.port, nullptr);
    f.run(std::chrono::milliseconds(300));
    c->send(post("/job", 3));
    f.run(std::chrono::milliseconds(300));
    c->send(post("/job", 3));
    f.run(std::chrono::milliseconds(200));
    REQUIRE(ages.size() == 2);
    CHECK(ages[0] > std::chrono::milliseconds(250));
    CHECK(ages[1] == std::chrono::milliseconds(0));
}

namespace
{

// Number of descriptors that a wake-up of the main context visits.
int polled_descriptors()
{
    auto* context = g_main_context_default();
    REQUIRE(g_main_context_acquire(context) == TRUE);
    gint priority = 0;
    gint timeout_ms = 0;
    std::array<GPollFD, 1000> descriptors;
    g_main_context_prepare(context, &priority);
    const int n =
        g_main_context_query(context, priority, &timeout_ms, descriptors.data(),
                             static_cast<gint>(descriptors.size()));
    g_main_context_release(context);
    return n;
}

} // namespace

// Guards against an entry whose processor time goes to the connections of
// callers that ask for nothing: each wake-up visited all of them.
TEST_CASE("http_server: a wake-up visits no connection without a request")
{
    for (const std::string& first_request : {std::string(), post("/echo", 3)})
    {
        INFO("served before: " << !first_request.empty());
        constexpr std::size_t clients = 50;
        server_fixture f;
        const int before = polled_descriptors();
        std::vector<std::unique_ptr<raw_connection>> idle;
        for (std::size_t i = 0; i < clients; ++i)
        {
            idle.push_back(raw_connect(f.port, nullptr));
            REQUIRE(idle.back());
            idle.back()->send(first_request);
            f.run(std::chrono::milliseconds(2));
        }
        f.run(std::chrono::milliseconds(200));
        CHECK(f.handled == (first_request.empty() ? 0 : clients));
        // Each client of the test is itself a source.
        CHECK(polled_descriptors() == before + static_cast<int>(clients));
    }
}

// Guards against callers that get no connection while the process is out of its
// processor share: the queue for ten of them was full.
TEST_CASE("http_server: clients that connect while the process is paused are "
          "accepted")
{
    constexpr std::size_t clients = 100;
    server_fixture f;
    const silent_clients waiting("127.0.0.1", f.port, clients);
    // Without turns of the server's loop, and in less than the kernel's time to
    // send a dropped packet again.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK(waiting.connected() == clients);
}

// Guards against a job that is started although its client has left and
// submitted it elsewhere: after a pause of the process, TCP delivers its
// request on an open connection as if it were new.
TEST_CASE(
    "http_server: after a pause, only requests that have arrived whole are "
    "handled")
{
    const std::string whole = post("/echo", 3);
    struct row
    {
        const char* name;
        std::string at_pause; ///< unread when the pause is noticed
        std::string late;     ///< arrives after that
        std::size_t handled;  ///< of these requests
        bool is_under_way;    ///< the first one has no response yet
    };
    const row rows[] = {
        {"idle", "", whole, 0, false},
        {"half a request", whole.substr(0, 40), whole.substr(40), 0, false},
        {"half a body", whole.substr(0, whole.size() - 1),
         whole.substr(whole.size() - 1), 0, false},
        {"a request", whole, whole, 1, false},
        {"a request under way", get("/held"), whole, 0, true}};
    for (const bool served_before : {false, true})
    {
        for (const auto& it : rows)
        {
            INFO(it.name << ", served before: " << served_before);
            server_fixture f;
            const auto c = raw_connect(f.port, nullptr);
            std::size_t before = 0;
            if (served_before)
            {
                c->send(whole);
                f.run(50ms);
                before = f.handled;
                REQUIRE(before == 1);
            }
            c->send(it.at_pause);
            if (it.is_under_way)
            {
                f.run();
            }
            // Without a turn of the loop the connection isn't even accepted,
            // unless it was served before.
            CHECK(f.server->on_pause(f.loop.now() - 900ms) == 1);
            c->send(it.late);
            f.run(50ms);
            if (it.is_under_way)
            {
                REQUIRE(f.held.size() == 1);
                f.held.front()(json_response(200, {}));
                f.run(50ms);
                CHECK(contains(c->received(), "HTTP/1.1 200"));
            }
            CHECK(f.handled - before == it.handled);
            CHECK(c->ended());
            f.run(1100ms);
            CHECK(f.server->connections() == 0);
        }
    }
}

// Guards against a request that waited for a whole pause and is taken for a new
// one.
TEST_CASE("http_server: a request that is read after a pause tells how long it "
          "may have waited")
{
    for (const bool served_before : {false, true})
    {
        INFO("served before: " << served_before);
        server_fixture f;
        std::vector<duration> delays;
        f.server->route("POST", "/job",
                        [&](const http_request& rq, const auto& respond)
                        {
                            delays.push_back(rq.possible_delay);
                            respond(json_response(200, {}));
                        });
        const auto c = raw_connect(f.port, nullptr);
        if (served_before)
        {
            c->send(post("/job", 3));
            f.run(50ms);
            REQUIRE(delays.size() == 1);
            CHECK(delays.back() < 300ms);
        }
        c->send(post("/job", 3));
        f.server->on_pause(f.loop.now() - 900ms);
        REQUIRE(delays.size() == (served_before ? 2 : 1));
        CHECK(delays.back() >= 900ms);
        CHECK(delays.back() < 1200ms);
        f.run(50ms);
        CHECK(contains(c->received(), "Connection: close"));
    }
}
