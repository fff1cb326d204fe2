#include <agatebank/http/http_server.hpp>
#include <agatebank/http/identified_connections.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace agatebank;
using namespace std::chrono_literals;

namespace
{

using outcome = tl::expected<http_response, http_failure>;

// A peer that is replaced by other processes at the same address.
struct replaced_peer
{
    event_loop loop;
    uint16_t port = 0;
    int identity = 1;
    unsigned identify_status = 200;
    bool names_itself = true;
    std::vector<int> received; ///< identities of the processes that were called
    int identifications = 0;
    std::unique_ptr<http_server> server;
    identified_connections connections{
        loop, 4, {[this] { return call("/who"); }, read}};
    std::vector<http_call_handle> handles;

    replaced_peer()
    {
        start();
    }

    static std::optional<peer_identity> read(const http_response& r)
    {
        const auto document = nlohmann::json::parse(r.body);
        return document.contains("id")
                   ? std::optional(peer_identity(document["id"]))
                   : std::nullopt;
    }

    void start()
    {
        http_server_options options;
        options.port = port;
        server = std::make_unique<http_server>(loop, options);
        server->route("POST", "/who",
                      [this](const http_request&, const http_responder& r)
                      {
                          ++identifications;
                          auto body = nlohmann::json::object();
                          if (names_itself)
                          {
                              body["id"] = identity;
                          }
                          r(json_response(identify_status, body));
                      });
        server->route("POST", "/do",
                      [this](const http_request&, const http_responder& r)
                      {
                          received.push_back(identity);
                          r(json_response(200, nlohmann::json::object()));
                      });
        port = *server->listen();
    }

    void replace(int next)
    {
        server.reset();
        identity = next;
        start();
    }

    http_call call(const char* path) const
    {
        http_call out;
        out.method = "POST";
        out.url = "http://127.0.0.1:" + std::to_string(port) + path;
        out.body = "{}";
        out.may_resend = true;
        out.timeout = 1s;
        return out;
    }

    // Sends as many calls at once, and returns their outcomes.
    std::vector<outcome> run(std::size_t n, int expected = 1)
    {
        std::vector<outcome> out;
        const auto limit = loop.after(3s, [this] { loop.quit(); });
        for (std::size_t i = 0; i < n; ++i)
        {
            handles.push_back(connections.send(call("/do"),
                                               peer_identity(expected),
                                               [&, n](const outcome& o)
                                               {
                                                   out.push_back(o);
                                                   if (out.size() == n)
                                                   {
                                                       loop.quit();
                                                   }
                                               }));
        }
        loop.run();
        REQUIRE(out.size() == n);
        return out;
    }
};

} // namespace

// Guards against calls that reach the successor of the process that they were
// meant for.
TEST_CASE("identified_connections: only the expected process receives calls")
{
    struct row
    {
        const char* name;
        int next;     ///< identity after the replacement, 0: not replaced
        int expected; ///< by the second call
        std::vector<int> received;
        errc error; ///< of the second call, if it fails
    };
    const row rows[] = {
        {"the same process", 0, 1, {1, 1}, {}},
        {"another process", 2, 1, {1}, errc::start_wrong_incarnation},
        {"another process that is expected", 2, 2, {1, 2}, {}},
        {"a process that isn't there yet",
         0,
         2,
         {1},
         errc::start_wrong_incarnation},
        {"the same process after its connections broke", 1, 1, {1, 1}, {}}};
    for (const auto& row : rows)
    {
        SECTION(row.name)
        {
            replaced_peer p;
            REQUIRE(p.run(1).front());
            if (row.next != 0)
            {
                p.replace(row.next);
            }
            p.connections.close_idle_except(peer_identity(row.expected));
            const auto second = p.run(1, row.expected).front();
            CHECK(p.received == row.received);
            CHECK(second.has_value() == (row.received.size() == 2));
            if (!second)
            {
                CHECK(second.error().reason.code == row.error);
                CHECK_FALSE(second.error().may_have_been_received);
            }
        }
    }
}

TEST_CASE("identified_connections: each connection is identified once")
{
    replaced_peer p;
    for (int i = 0; i < 3; ++i)
    {
        for (const auto& it : p.run(3))
        {
            CHECK(it);
        }
    }
    CHECK(p.received.size() == 9);
    CHECK(p.identifications == 3);
    CHECK(p.connections.size() == 3);
    CHECK(p.connections.has_idle(peer_identity(1)));
}

TEST_CASE("identified_connections: calls beyond the limit are not sent")
{
    replaced_peer p;
    std::size_t served = 0;
    for (const auto& it : p.run(6))
    {
        served += it.has_value() ? 1 : 0;
        CHECK((it || !it.error().may_have_been_received));
    }
    CHECK(served == 4);
    CHECK(p.received.size() == 4);
}

TEST_CASE(
    "identified_connections: a peer that doesn't identify itself receives "
    "no other call")
{
    replaced_peer p;
    SECTION("it refuses")
    {
        p.identify_status = 421;
        p.names_itself = false;
        const auto got = p.run(1).front();
        REQUIRE(got);
        CHECK(got->status == 421);
    }
    SECTION("it names no identity")
    {
        p.names_itself = false;
        const auto got = p.run(1).front();
        REQUIRE_FALSE(got);
        CHECK(got.error().reason.code == errc::message_malformed);
    }
    SECTION("it isn't there")
    {
        p.server.reset();
        const auto got = p.run(1).front();
        REQUIRE_FALSE(got);
        CHECK(got.error().reason.code == errc::peer_unreachable);
    }
    CHECK(p.received.empty());
    CHECK(p.connections.size() == 0);
}

TEST_CASE("identified_connections: a cancelled call is not completed")
{
    replaced_peer p;
    bool completed = false;
    p.handles.push_back(p.connections.send(p.call("/do"), peer_identity(1),
                                           [&](const outcome&)
                                           { completed = true; }));
    p.handles.clear();
    const auto stop = p.loop.after(100ms, [&p] { p.loop.quit(); });
    p.loop.run();
    CHECK_FALSE(completed);
    CHECK(p.received.empty());
    CHECK(p.run(1).front());
}
