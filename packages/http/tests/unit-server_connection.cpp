#include "../src/server_connection.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <string>

#include <sys/socket.h>

using namespace agatebank;

// Guards against work for a client whose leaving is never noticed, as its
// socket can't be watched. A descriptor that is already in the epoll set can't
// be added to it.
TEST_CASE("server_connection: a socket that can't be watched is reported, and "
          "its requests aren't read")
{
    for (const bool watched : {false, true})
    {
        INFO("already watched: " << watched);
        event_loop loop;
        timer_queue timers(loop);
        std::array<int, 2> pair{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0,
                             pair.data()) == 0);
        const unique_fd client(pair[1]);
        if (watched)
        {
            REQUIRE(loop.sockets().add_end_watch(pair[0], [] {}));
        }
        int requests = 0;
        const auto connection = std::make_shared<server_connection>(
            connection_context{
                loop, timers, {1000, 1000}, std::chrono::seconds(5), true},
            unique_fd(pair[0]), "client",
            connection_hooks{[&requests](const http_request&) { ++requests; },
                             [] {},
                             [] {
                             }});
        CHECK(connection->open().has_value() == !watched);
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        ::send(client.get(), request.data(), request.size(), MSG_NOSIGNAL);
        const auto end =
            loop.after(std::chrono::milliseconds(50), [&loop] { loop.quit(); });
        loop.run();
        CHECK(requests == (watched ? 0 : 1));
        connection->close();
    }
}
